#ifndef SRC_GATEWAY_LEAVING_SERVERS_H_
#define SRC_GATEWAY_LEAVING_SERVERS_H_

// PRIVATE HEADER. Pattern: a server that says in its answers that it leaves,
// while the registry does not, lags or is away.

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/server_observations.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// A server said that it leaves, to this instance or to another.
struct LeavingStatement {
  ServerKey server;
  TimePoint at;
};

// The starts of servers that have said that they leave. A server does not take
// that back: it holds until another start of it is known under another key,
// whatever the registry or a later answer says.
class LeavingServers {
 public:
  // Returns true if it is news.
  bool Add(const LeavingStatement& statement, TimePoint now);
  // When the server first said it; empty if it did not.
  std::optional<TimePoint> Since(ServerKey server) const;

  // Returns how many of the statements are news.
  size_t Merge(const std::vector<LeavingStatement>& statements, TimePoint now);
  // What became known here after `since`.
  std::vector<LeavingStatement> NewsSince(TimePoint since) const;

  // Forgets servers that must have ended. Called periodically.
  void Sweep(TimePoint now);
  size_t size() const { return m_servers.size(); }

 private:
  struct Record {
    TimePoint said_at;
    TimePoint known_at;
  };

  std::unordered_map<ServerKey, Record> m_servers;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_LEAVING_SERVERS_H_
