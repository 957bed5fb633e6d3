// Private. BackendTransport over libcurl.
#ifndef SRC_PEERS_BACKEND_CURL_TRANSPORT_H_
#define SRC_PEERS_BACKEND_CURL_TRANSPORT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

#include "peers/backend/transport_options.h"
#include "wasabihook/backend.h"

namespace wasabihook {

class TransportWorker;

// Sends sub-requests over HTTP/1.1. Each server is assigned to one worker
// thread, which owns all connections to it. Callbacks run on worker threads and
// should return quickly. The destructor completes sub-requests in flight with
// kCancelled and returns after the last callback; it must not run on a worker
// thread.
class CurlBackendTransport : public BackendTransport {
 public:
  explicit CurlBackendTransport(BackendTransportOptions options = {});
  ~CurlBackendTransport() override;

  void Send(SubRequest request, SubReplyCallback done) override;
  void Cancel(const SubRequestId& id) override;
  void SetConnectionLimit(const ServerId& server, uint32_t limit) override;
  BackendTransportStats Stats() const;

 private:
  TransportWorker& WorkerFor(const ServerId& server);

  std::atomic<uint64_t> m_pending{0};
  std::vector<std::unique_ptr<TransportWorker>> m_workers;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_CURL_TRANSPORT_H_
