#ifndef SRC_PEERS_INSTANCE_HTTP_PEER_TRANSPORT_H_
#define SRC_PEERS_INSTANCE_HTTP_PEER_TRANSPORT_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/peer.h"

namespace wasabihook {

struct PeerTransportOptions {
  uint32_t threads = config::kPeerThreads;
  uint32_t max_idle_connections = config::kMaxIdlePeerConnectionsPerThread;
  // Limit for one call including the connect, excluding time in the queue.
  Duration timeout = config::kPeerCallTimeout;
  Duration connect_timeout = config::kPeerConnectTimeout;
  size_t max_queued = config::kMaxQueuedPeerCalls;
};

// PeerTransport that uses JSON-RPC 2.0 over HTTP. Calls and their callbacks run
// on a small thread pool. Calls beyond the queue limit fail immediately. Every
// callback has been called when the destructor returns.
class HttpPeerTransport : public PeerTransport {
 public:
  explicit HttpPeerTransport(PeerTransportOptions options = {});
  ~HttpPeerTransport() override;
  HttpPeerTransport(const HttpPeerTransport&) = delete;
  HttpPeerTransport& operator=(const HttpPeerTransport&) = delete;

  void Call(const std::string& address,
            PeerRequest request,
            std::function<void(std::optional<PeerResponse>)> done) override;

  // Total body bytes sent and received.
  uint64_t bytes() const { return m_bytes.load(); }
  // Total calls started, excluding calls that failed in the queue.
  uint64_t calls() const { return m_calls.load(); }

 private:
  struct QueuedCall {
    std::string address;
    PeerRequest request;
    std::function<void(std::optional<PeerResponse>)> done;
    bool rejected = false;
  };

  void RunWorker();
  std::optional<QueuedCall> TakeCall(bool& stopping);

  const PeerTransportOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_work_available;
  std::deque<QueuedCall> m_queue;
  bool m_stopping = false;
  std::atomic<uint64_t> m_bytes{0};
  std::atomic<uint64_t> m_calls{0};
  std::vector<std::thread> m_threads;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_HTTP_PEER_TRANSPORT_H_
