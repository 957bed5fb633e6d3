#include "peers/instance/peer_listener.h"

#include <atomic>
#include <utility>

#include "peers/instance/peer_codec.h"

namespace wasabihook {

struct PeerListener::RequestHandler {
  explicit RequestHandler(PeerHandler handler) : rpc(std::move(handler)) {}

  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    if (request.refused_status) {
      respond({.status = *request.refused_status});
    } else if (request.path != kPeerPath) {
      respond({.status = 404});
    } else if (request.method != "POST") {
      respond({.status = 405});
    } else {
      std::string response = rpc.Handle(request.body);
      bytes += request.body.size() + response.size();
      respond({.status = 200, .body = std::move(response)});
    }
  }

  PeerRpcServer rpc;
  std::atomic<uint64_t> bytes{0};
};

PeerListener::PeerListener(const PeerListenerOptions& options,
                           PeerHandler handler)
    : m_request_handler(std::make_shared<RequestHandler>(std::move(handler))),
      m_listener(
          {.address = options.address,
           .threads = options.threads,
           .max_body_bytes = config::kMaxPeerMessageBytes,
           .max_connections = options.max_connections,
           .idle_timeout = options.idle_timeout},
          [request_handler = m_request_handler](const HttpRequest& request,
                                                const HttpResponder& respond) {
            request_handler->Serve(request, respond);
          }) {}

uint64_t PeerListener::bytes() const {
  return m_request_handler->bytes.load();
}

void PeerListener::Stop() {
  m_listener.Stop(Duration(0));
}

}  // namespace wasabihook
