// Private. Options and counters of the transport to backend servers.
#ifndef SRC_PEERS_BACKEND_TRANSPORT_OPTIONS_H_
#define SRC_PEERS_BACKEND_TRANSPORT_OPTIONS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "peers/backend/wire.h"
#include "wasabihook/backend.h"
#include "wasabihook/config.h"
#include "wasabihook/units.h"

namespace wasabihook {

struct BackendTransportOptions {
  uint32_t worker_threads = config::kBackendShards;
  uint32_t connection_limit = config::kDefaultBackendConnections;
  Duration connect_timeout = config::kConnectTimeout;
  Duration idle_timeout = config::kBackendIdleTimeout;
  size_t max_reply_bytes = config::kMaxBackendReplyBytes;
  // Time within which a reply to a sub-request normally starts. A connection
  // that exceeds it is checked for responsiveness. Called on worker threads.
  std::function<Duration(const SubRequest&)> expected_response_time =
      [](const SubRequest&) { return config::kProgressTimeout; };
};

// Event counts since start; `open` is the current number of connections.
struct BackendTransportStats {
  uint64_t open = 0;
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t connect_failed = 0;
  uint64_t refused_for_limit = 0;  // Sockets not opened because of the limit.
  uint64_t closed_as_suspect = 0;
  uint64_t closed_by_server = 0;  // Idle connections closed by the server.
  uint64_t resends_prevented = 0;
  uint64_t moved = 0;  // Sub-requests moved off an unresponsive connection.
  uint64_t probes = 0;
  uint64_t timed_out = 0;
  uint64_t cancelled = 0;
  uint64_t cancels_sent = 0;
  uint64_t cancels_dropped = 0;
  std::array<uint64_t, kInvalidReplyCauseCount>
      invalid{};  // By InvalidReplyCause.
};

// Counter with one writing thread and any number of reading threads.
class SingleWriterCounter {
 public:
  void Add(int64_t n = 1) {
    m_value.store(m_value.load(std::memory_order_relaxed) + n,
                  std::memory_order_relaxed);
  }
  uint64_t Get() const {
    return static_cast<uint64_t>(m_value.load(std::memory_order_relaxed));
  }

 private:
  std::atomic<int64_t> m_value{0};
};

struct TransportCounters {
  SingleWriterCounter open;
  SingleWriterCounter opened;
  SingleWriterCounter reused;
  SingleWriterCounter connect_failed;
  SingleWriterCounter refused_for_limit;
  SingleWriterCounter closed_as_suspect;
  SingleWriterCounter closed_by_server;
  SingleWriterCounter resends_prevented;
  SingleWriterCounter moved;
  SingleWriterCounter probes;
  SingleWriterCounter timed_out;
  SingleWriterCounter cancelled;
  SingleWriterCounter cancels_sent;
  SingleWriterCounter cancels_dropped;
  std::array<SingleWriterCounter, kInvalidReplyCauseCount> invalid;

  void AddTo(BackendTransportStats* stats) const;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_TRANSPORT_OPTIONS_H_
