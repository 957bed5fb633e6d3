#ifndef SRC_PEERS_INSTANCE_PEER_LISTENER_H_
#define SRC_PEERS_INSTANCE_PEER_LISTENER_H_

#include <memory>
#include <string>

#include "peers/instance/peer_rpc_server.h"
#include "runtime/http_listener.h"
#include "wasabihook/config.h"
#include "wasabihook/peer.h"

namespace wasabihook {

struct PeerListenerOptions {
  std::string address =
      "127.0.0.1:0";  // "ip:port"; port 0 selects a free port.
  uint32_t threads = config::kPeerListenerThreads;
  uint32_t max_connections = config::kMaxPeerConnections;
  Duration idle_timeout = config::kPeerIdleTimeout;
};

// Serves the peer protocol on a dedicated HTTP listener.
class PeerListener {
 public:
  // Throws std::runtime_error if the address cannot be bound.
  PeerListener(const PeerListenerOptions& options, PeerHandler handler);

  // Bound address, "ip:port".
  const std::string& address() const { return m_listener.address(); }
  // Total body bytes received and sent.
  uint64_t bytes() const;
  // Stops the listener; later requests get no response.
  void Stop();

 private:
  // Shared with the requests in flight.
  struct RequestHandler;

  std::shared_ptr<RequestHandler> m_request_handler;
  HttpListener m_listener;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_PEER_LISTENER_H_
