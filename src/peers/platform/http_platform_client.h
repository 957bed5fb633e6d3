#ifndef SRC_PEERS_PLATFORM_HTTP_PLATFORM_CLIENT_H_
#define SRC_PEERS_PLATFORM_HTTP_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wasabihook/config.h"
#include "wasabihook/platform.h"

namespace wasabihook::platform {

enum class CallKind : uint8_t {
  kGet,
  kList,
  kWatch,
  kWrite,
  kDelete,
  kListInstances,
  kAnnounce,
};
std::string ToString(CallKind kind);
// Name of a status as used in metrics; must not change.
std::string ToString(StoreStatus status);

struct PlatformClientOptions {
  std::string address;  // "ip:port"
  Duration connect_timeout = config::kPlatformConnectTimeout;
  // For a whole call. The timeout of a watch is its wait time plus
  // `watch_timeout_margin`.
  Duration call_timeout = config::kPlatformCallTimeout;
  Duration watch_timeout_margin = config::kPlatformWatchTimeoutMargin;
  // A connection that was idle for longer is not reused.
  Duration idle_timeout = config::kPlatformIdleTimeout;
  // Further calls fail with kUnavailable.
  uint32_t max_concurrent_calls = config::kMaxPlatformCalls;
  uint32_t max_connections = config::kMaxPlatformConnections;
  size_t max_response_bytes = config::kMaxPlatformResponseBytes;
  // Called for each completed call, on the client's thread. Used for metrics.
  std::function<void(CallKind, StoreStatus, Duration)> on_call;
};

// HTTP/1.1 client of the platform. libcurl and all callbacks run on one thread.
// A call whose request was not sent returns kUnavailable; one whose response
// was lost or timed out returns kUnknown. A write is sent at most once, even if
// a reused connection turns out to be dead. The destructor completes
// outstanding calls with one of these statuses.
class HttpPlatformClient : public KeyValueStore, public InstanceList {
 public:
  // Throws std::runtime_error if libcurl cannot be set up.
  explicit HttpPlatformClient(PlatformClientOptions options);
  ~HttpPlatformClient() override;

  void Get(std::string key, std::function<void(GetResult)> done) override;
  void List(std::string prefix,
            std::optional<Revision> newer_than,
            Duration wait,
            std::function<void(ListResult)> done) override;
  // Throws std::invalid_argument if `value` is not valid UTF-8.
  void CompareAndSwap(std::string key,
                      Revision expected,
                      std::string value,
                      std::function<void(WriteResult)> done) override;
  void Delete(std::string key,
              Revision expected,
              std::function<void(WriteResult)> done) override;
  void ListInstances(std::function<void(InstanceListResult)> done) override;
  void Announce(ListedInstance self,
                std::function<void(StoreStatus)> done) override;

  // Number of completed calls with this kind and status.
  uint64_t Count(CallKind kind, StoreStatus status) const;

 private:
  class Impl;
  const std::unique_ptr<Impl> m_impl;
};

}  // namespace wasabihook::platform

#endif  // SRC_PEERS_PLATFORM_HTTP_PLATFORM_CLIENT_H_
