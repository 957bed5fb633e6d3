#ifndef SRC_GATEWAY_REPLICA_COST_H_
#define SRC_GATEWAY_REPLICA_COST_H_

// PRIVATE HEADER.

#include <cstdint>

namespace wasabihook::gateway {

// State of a server that determines its cost.
struct ReplicaView {
  // Recent latency relative to the median of the route.
  double relative_latency = 1;
  // Share of recent replies that were failures or refusals.
  double failure_share = 0;
  uint32_t outstanding = 0;
  uint32_t slots = 1;
  bool warming_up = false;
  // A reply is overdue.
  bool stalled = false;
  bool remote = false;
};

// Expected cost of a sub-request on the server, in units of the median latency
// of an idle server in the same data centre. The server with the lowest cost is
// chosen.
double ReplicaCost(const ReplicaView& view);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REPLICA_COST_H_
