#ifndef SRC_GATEWAY_DEPARTED_SERVERS_H_
#define SRC_GATEWAY_DEPARTED_SERVERS_H_

// PRIVATE HEADER. Pattern: a registry that comes back from an older copy and
// lists servers again that have left since.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "gateway/platform_adapter.h"
#include "gateway/store_position.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What the servers that left the registry had said last. An entry from before
// that is not used again.
class DepartedServers {
 public:
  // The registry has dropped the server, whose last entry is `last`.
  void Add(const ServerEntry& last, StorePosition position, TimePoint now);
  // True if the registry was restored since the server left, and `entry` is
  // what it had said before. `listed`: read from a listing, so that it may be
  // from any time before; otherwise it was written just now.
  bool IsListedAgain(const ServerEntry& entry,
                     StorePosition position,
                     bool listed) const;
  void Remove(const ServerId& id) { m_servers.erase(id); }
  // Forgets what no copy of the store is old enough for.
  void Sweep(TimePoint now);
  size_t size() const { return m_servers.size(); }

 private:
  struct Record {
    int64_t started_at_ms = 0;
    std::optional<uint64_t> sequence;
    StorePosition left_at;
    TimePoint known_at;
  };

  std::unordered_map<ServerId, Record> m_servers;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_DEPARTED_SERVERS_H_
