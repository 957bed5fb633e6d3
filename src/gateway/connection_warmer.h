#ifndef SRC_GATEWAY_CONNECTION_WARMER_H_
#define SRC_GATEWAY_CONNECTION_WARMER_H_

// PRIVATE HEADER. Pattern: connection pre-warming.

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Decides which servers to connect to ahead of the first request. A query over
// hundreds of shards that has to open all its connections itself spends most of
// its latency objective on them; a fleet that opens them all at once floods the
// servers with handshakes. Connections are therefore opened a few at a time,
// and again after the server has closed them, but not often.
class ConnectionWarmer {
 public:
  // Returns the servers among `cold`, which have no connection, that are to be
  // connected to now.
  std::vector<ServerId> Select(const std::vector<ServerId>& cold,
                               TimePoint now);
  // Forgets servers that are no longer known.
  void Forget(const ServerId& id) { m_next_at.erase(id); }

 private:
  struct Next {
    TimePoint at;
    Duration delay{0};
  };
  // Earliest next connection of the servers that were selected before.
  std::unordered_map<ServerId, Next> m_next_at;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CONNECTION_WARMER_H_
