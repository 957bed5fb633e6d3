#ifndef SRC_PEERS_INSTANCE_PEER_RPC_SERVER_H_
#define SRC_PEERS_INSTANCE_PEER_RPC_SERVER_H_

#include <memory>
#include <string>

#include "wasabihook/peer.h"

namespace wasabihook {

// Server side of the peer protocol: decodes JSON-RPC 2.0 requests, passes them
// to a PeerHandler and encodes its responses. Thread-safe.
class PeerRpcServer {
 public:
  explicit PeerRpcServer(PeerHandler handler);
  ~PeerRpcServer();
  PeerRpcServer(const PeerRpcServer&) = delete;
  PeerRpcServer& operator=(const PeerRpcServer&) = delete;

  // Returns the JSON-RPC response to the HTTP body `request`, or an error
  // response if it is malformed. Empty for notifications.
  std::string Handle(const std::string& request);

 private:
  class Connector;
  class MethodDispatcher;
  std::unique_ptr<Connector> m_connector;
  std::unique_ptr<MethodDispatcher> m_dispatcher;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_PEER_RPC_SERVER_H_
