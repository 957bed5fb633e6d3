#include "gateway/replica_cost.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

double ReplicaCost(const ReplicaView& view) {
  const double slots = std::max<uint32_t>(view.slots, 1);
  const double load = static_cast<double>(view.outstanding) / slots;
  double cost = view.relative_latency * (1 + load);
  if (view.warming_up)
    cost *= kWarmUpCostFactor;
  if (view.remote)
    cost *= kRemoteCostFactor;
  cost += kFailureCost * view.failure_share * view.failure_share;
  if (view.stalled)
    cost += kStallCost;
  return cost;
}

}  // namespace wasabihook::gateway
