#ifndef SRC_PEERS_OPERATOR_ADMIN_CLIENT_H_
#define SRC_PEERS_OPERATOR_ADMIN_CLIENT_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

// The call failed or timed out. An operation may have been executed.
class AdminCallError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct AdminReply {
  int http_status = 0;
  std::string body;  // JSON
};

// A request that an operator sends to one instance.
struct AdminQuery {
  RequestKind kind = RequestKind::kSearch;
  TeamId team;
  IndexSetId index_set;
  std::string query;       // Search text.
  std::string record_key;  // For fetches and operations.
  std::string operation;   // JSON object or plain text.
  IdempotencyKey idempotency_key;
  // Time at which the operation was first issued; retries repeat it.
  WallTime issued_at;
  std::optional<Duration> deadline;
};

// Blocking client of the caller protocol of one instance. Not thread-safe.
class AdminClient {
 public:
  // `address` is "ip:port"; `timeout` applies to each call.
  AdminClient(std::string address, Duration timeout);

  // Both throw AdminCallError.
  AdminReply Status() const;
  AdminReply Send(const AdminQuery& query) const;

 private:
  std::string m_address;
  Duration m_timeout;
};

}  // namespace wasabihook

#endif  // SRC_PEERS_OPERATOR_ADMIN_CLIENT_H_
