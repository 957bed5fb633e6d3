#ifndef SRC_RUNTIME_DAEMON_H_
#define SRC_RUNTIME_DAEMON_H_

// PRIVATE HEADER.

#include <atomic>
#include <memory>
#include <string>

#include "peers/caller/caller_service.h"
#include "runtime/daemon_components.h"
#include "runtime/http_listener.h"
#include "runtime/shutdown_control.h"
#include "runtime/start_config.h"

namespace wasabihook {

// Exit statuses of wasabihookd.
inline constexpr int kExitDrained = 0;
inline constexpr int kExitStartFailed = 1;
// The shutdown aborted requests in flight.
inline constexpr int kExitRequestsAborted = 3;

// One instance of the tier: listeners, decision logic and transports. Serves
// requests as soon as it is constructed.
class Daemon {
 public:
  // Throws std::runtime_error if an address cannot be bound.
  Daemon(StartConfig config, std::string version);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // The first call clears readiness and starts the drain, the second aborts the
  // drain. Does not block; thread-safe.
  void RequestShutdown();
  // Blocks until RequestShutdown() is called, then shuts down: serves for the
  // notice period, then rejects new requests and finishes those in flight.
  // Returns kExitDrained, or kExitRequestsAborted if the drain limit or a
  // second shutdown request aborted requests.
  int Wait();

  // Bound addresses, "ip:port".
  const std::string& caller_address() const;
  const std::string& peer_address() const;
  const std::string& admin_address() const;
  // True if settings are loaded and no shutdown was requested.
  bool ready() const;

 private:
  bool has_settings() const;
  void HandleCaller(const HttpRequest& request, HttpResponder responder);
  void HandleAdmin(const HttpRequest& request, const HttpResponder& responder);
  // Serves GET requests for /healthz, /readyz and /metrics. Returns false for
  // all other requests.
  bool HandleMonitoring(const HttpRequest& request,
                        const HttpResponder& responder);
  void AddSampledMetrics();
  Duration DrainNotice() const;
  Duration DrainLimit() const;
  void HandOver();
  void LogAbortedRequests() const;

  const StartConfig m_config;
  const std::string m_version;
  const TimePoint m_started;
  ShutdownControl m_shutdown;
  std::atomic<bool> m_drained{false};
  DaemonComponents m_components;
  caller::CallerService m_callers;
  std::unique_ptr<HttpListener> m_admin_listener;
  std::unique_ptr<HttpListener> m_caller_listener;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_DAEMON_H_
