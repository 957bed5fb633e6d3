#ifndef SRC_PEERS_OPERATOR_ADMIN_CLIENT_H_
#define SRC_PEERS_OPERATOR_ADMIN_CLIENT_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

// The instance did not answer in time. An operation may have run.
class AdminCallError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct AdminReply {
  int http_status = 0;
  std::string body;  // JSON
};

// A query that an operator sends to one instance.
struct AdminQuery {
  RequestKind kind = RequestKind::kSearch;
  TeamId team;
  IndexSetId index_set;
  std::string query;       // Search text.
  std::string record_key;  // For fetches and operations.
  std::string operation;   // JSON object or text.
  IdempotencyKey idempotency_key;
  // When the operation was first issued.
  WallTime issued_at;
  std::optional<Duration> deadline;
};

// Calls one instance over its caller protocol. Blocks; not thread-safe.
class AdminClient {
 public:
  // `address` is "ip:port"; `timeout` is for one call.
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
