#ifndef SRC_DECISION_QUERY_CAPACITY_WAITERS_H_
#define SRC_DECISION_QUERY_CAPACITY_WAITERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/snapshot.h"

namespace wasabihook {

// A sub-query that waits until a server can take work.
struct CapacityWaiter {
  QueryHandle query;
  uint64_t ticket = 0;
};

// Sub-queries that wait for a server, oldest first, in shards by server.
// Thread-safe; calls nothing outside, so it may be used under a query lock.
class CapacityWaiters {
 public:
  // Waits for any server of `group`; returns the ticket of the wait. A server
  // with too many waiters is left out: the waiter still polls by its timer.
  uint64_t Add(const ShardGroup& group, QueryHandle query);
  void Remove(const ShardGroup& group, uint64_t ticket);
  // Takes the waiter that has waited longest for `server`, among those added
  // before `end`, a value of next_ticket().
  std::optional<CapacityWaiter> Take(const ServerId& server, uint64_t end);
  uint64_t next_ticket() const { return m_next_ticket.load(); }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<ServerId, std::map<uint64_t, QueryHandle>> waiters;
  };

  Shard& ShardOf(const ServerId& server);

  std::atomic<uint64_t> m_next_ticket{1};
  std::array<Shard, config::kStateShards> m_shards;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_CAPACITY_WAITERS_H_
