#ifndef SRC_DECISION_ROUTING_HEDGE_POLICY_H_
#define SRC_DECISION_ROUTING_HEDGE_POLICY_H_

#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Identifies a shard group across teams and index sets.
struct ShardGroupKey {
  TeamId team;
  IndexSetId index_set;
  ShardGroupId group;
};

// Computes the hedge delay of each shard group from its observed latencies.
// Thread-safe.
class HedgePolicy {
 public:
  virtual ~HedgePolicy() = default;
  // Time after sending a sub-request at which to send a hedge to a second
  // replica. Duration::max() if `pool_overloaded` is set, that is if all
  // replicas of the group are busy: a hedge would then add load without a
  // benefit.
  virtual Duration DelayFor(const ShardGroupKey& group,
                            bool pool_overloaded) = 0;
  virtual void Observe(const ShardGroupKey& group, Duration latency) = 0;

  static std::unique_ptr<HedgePolicy> Create();
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_HEDGE_POLICY_H_
