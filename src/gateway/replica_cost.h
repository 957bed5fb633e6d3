#ifndef SRC_GATEWAY_REPLICA_COST_H_
#define SRC_GATEWAY_REPLICA_COST_H_

// PRIVATE HEADER.

#include <cstdint>

namespace wasabihook::gateway {

// What the choice of a replica needs to know of one server.
struct ReplicaView {
  // Recent latency relative to the usual one of the route.
  double relative_latency = 1;
  // Share of recent replies that were failures or refusals.
  double failure_share = 0;
  uint32_t outstanding = 0;
  uint32_t slots = 1;
  bool warming_up = false;
  // Replies are owed for longer than usual, or a pause is forecast.
  bool stalled = false;
  bool remote = false;
};

// Expected cost of a sub-request on the server, in units of the latency of a
// usual idle server of the same data centre. The least cost is chosen.
double ReplicaCost(const ReplicaView& view);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REPLICA_COST_H_
