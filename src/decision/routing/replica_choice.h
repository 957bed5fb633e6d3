#ifndef SRC_DECISION_ROUTING_REPLICA_CHOICE_H_
#define SRC_DECISION_ROUTING_REPLICA_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "wasabihook/random_source.h"
#include "wasabihook/server_table.h"
#include "wasabihook/units.h"

namespace wasabihook {

// What the choice of a replica needs to know of one server of a group.
struct ReplicaView {
  // Index of the server in its group.
  size_t index = 0;
  uint32_t outstanding = 0;
  uint32_t limit = 0;
  // 0 if unknown.
  Duration latency{0};
  uint32_t replies = 0;
  // Work of other instances on the server, weighted down by age.
  double hinted_load = 0;
  // Consecutive failures.
  uint32_t consecutive_failures = 0;
  // Share of its usual load that the server may get; below 1 in slow start.
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

// Ranks the servers that may take work now, best first, as positions in
// `views`. A server whose probe is due comes first if `may_probe`.
std::vector<size_t> RankReplicas(const std::vector<ReplicaView>& views,
                                 const RoutingPolicy& policy,
                                 bool may_probe,
                                 const RandomSource& random);

// Most servers of a group of `servers` that may be ejected at once.
size_t MaxEjected(size_t servers);

// Positions of servers in use that should be ejected, worst reason first:
// consecutive failures, or a latency far above the median of their peers.
std::vector<size_t> FindOutliers(const std::vector<ReplicaView>& views);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_REPLICA_CHOICE_H_
