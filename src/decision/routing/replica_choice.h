#ifndef SRC_DECISION_ROUTING_REPLICA_CHOICE_H_
#define SRC_DECISION_ROUTING_REPLICA_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wasabihook/random_source.h"
#include "wasabihook/server_table.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Input to replica selection: the state of one server of a shard group.
struct ReplicaView {
  // Index of the server in its group.
  size_t index = 0;
  uint32_t outstanding = 0;
  uint32_t limit = 0;
  // Estimated latency; 0 if unknown.
  Duration latency{0};
  uint32_t replies = 0;
  // Load from other instances as reported by the server, scaled by
  // kLoadHintWeight and decayed with the age of the report.
  double hinted_load = 0;
  uint32_t consecutive_failures = 0;
  // Fraction of its normal load that the server may get; below 1 during slow
  // start.
  double slow_start_share = 1;
  bool excluded = false;
  bool draining = false;
  bool drain_hinted = false;
  bool backing_off = false;
  bool ejected = false;
  bool probe_due = false;
  bool should_eject = false;
  Duration time_until_probe{0};

  bool at_limit(const RoutingPolicy& policy) const {
    return policy.concurrency_limits && outstanding >= limit;
  }
};

// Returns the servers that can take work now as positions in `views`, best
// first. A server whose probe is due is ranked first if `may_probe` is true and
// left out otherwise.
std::vector<size_t> RankReplicas(const std::vector<ReplicaView>& views,
                                 const RoutingPolicy& policy,
                                 bool may_probe,
                                 const RandomSource& random);

// Maximum number of servers of a group of `servers` that may be ejected at
// once.
size_t MaxEjected(size_t servers);

// Returns the positions of the servers in use that should be ejected: those
// with too many consecutive failures, then those whose latency is far above the
// median of their peers.
std::vector<size_t> FindOutliers(const std::vector<ReplicaView>& views);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_REPLICA_CHOICE_H_
