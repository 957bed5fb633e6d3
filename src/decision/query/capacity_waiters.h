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

// A sub-query waiting for a server with free capacity.
struct CapacityWaiter {
  QueryHandle query;
  uint64_t ticket = 0;
};

// FIFO queues of sub-queries waiting for capacity, one queue per server.
// Thread-safe: sharded by server, one mutex per shard. Makes no outside calls,
// so it may be used while a query shard's lock is held.
class CapacityWaiters {
 public:
  // Enqueues `query` at every server of `group` and returns its ticket. Skips
  // servers whose queue is full; the sub-query still retries on its timer.
  uint64_t Add(const ShardGroup& group, QueryHandle query);
  void Remove(const ShardGroup& group, uint64_t ticket);
  // Removes and returns the oldest waiter for `server` whose ticket is less
  // than `end`, an earlier value of next_ticket().
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
