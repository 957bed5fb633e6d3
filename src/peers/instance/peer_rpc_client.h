#ifndef SRC_PEERS_INSTANCE_PEER_RPC_CLIENT_H_
#define SRC_PEERS_INSTANCE_PEER_RPC_CLIENT_H_

// Client side of the peer protocol. This header must compile as C++14, because
// the client headers of libjsonrpccpp do not compile as C++17 or later.

#include <jsoncpp/json/json.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>

namespace wasabihook {

// The call failed, timed out or returned an error.
class PeerCallError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct PeerRpcOptions {
  std::string path;
  int64_t timeout_ms = 0;  // For the whole call, including the connect.
  int64_t connect_timeout_ms = 0;
  int64_t max_idle_connections = 0;
  size_t max_response_bytes = 0;
};

// Calls methods of peers, one at a time, and reuses connections. A connection
// is closed when a call on it fails. Not thread-safe.
class PeerRpcClient {
 public:
  explicit PeerRpcClient(PeerRpcOptions options);
  ~PeerRpcClient();
  PeerRpcClient(const PeerRpcClient&) = delete;
  PeerRpcClient& operator=(const PeerRpcClient&) = delete;

  // Calls `method` at "ip:port" and returns the result. Throws PeerCallError.
  Json::Value Call(const std::string& address,
                   const std::string& method,
                   const Json::Value& params);
  // Total body bytes sent and received.
  uint64_t bytes() const;

 private:
  class Connector;
  std::unique_ptr<Connector> m_connector;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_PEER_RPC_CLIENT_H_
