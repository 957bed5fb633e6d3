#ifndef SRC_DECISION_ROUTING_HEDGE_POLICY_H_
#define SRC_DECISION_ROUTING_HEDGE_POLICY_H_

#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Names the shard group that a latency belongs to.
struct ShardGroupKey {
  TeamId team;
  IndexSetId index_set;
  ShardGroupId group;
};

// Learns, for each shard group, after which delay a second replica is worth
// asking. Thread-safe.
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;
  // Delay after the send at which to hedge. `pool_overloaded` is for groups
  // whose replicas are all busy: hedging would add load without gain, so the
  // result is then Duration::max().
  virtual Duration DelayFor(const ShardGroupKey& group,
                            bool pool_overloaded) = 0;
  virtual void Observe(const ShardGroupKey& group, Duration latency) = 0;

  static std::unique_ptr<HedgePolicy> Create();
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_HEDGE_POLICY_H_
