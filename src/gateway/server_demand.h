#ifndef SRC_GATEWAY_SERVER_DEMAND_H_
#define SRC_GATEWAY_SERVER_DEMAND_H_

// PRIVATE HEADER. Demand of the fleet for servers that name a limit.

#include <array>
#include <cstdint>
#include <unordered_map>

#include "gateway/fleet_tree.h"
#include "gateway/server_observations.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

struct DemandDigest {
  // Requests per second that would be sent to each server without its limit.
  std::unordered_map<ServerKey, double> per_second;
  // Number of instances whose demand this is.
  uint32_t instances = 0;
};

void MergeDemand(DemandDigest& into, const DemandDigest& from);

// Demand of this instance in a sliding window.
class LocalDemand {
 public:
  void Add(ServerKey server, double requests, TimePoint now);
  DemandDigest Digest(TimePoint now);

 private:
  static constexpr int64_t kSlices = 4;
  using Counts = std::array<double, kSlices>;

  void Advance(TimePoint now);

  int64_t m_slice = 0;
  std::unordered_map<ServerKey, Counts> m_servers;
};

// Demand of the fleet, added up along the tree of the change feed.
class FleetDemand {
 public:
  using Tree = FleetTree<DemandDigest, MergeDemand>;

  LocalDemand& local() { return m_local; }
  Tree& tree() { return m_tree; }
  // Demand of this instance and of those that follow it.
  DemandDigest Subtree(TimePoint now);
  // Demand of the fleet as known here. `root`: this instance follows none.
  DemandDigest Total(bool root, TimePoint now);

 private:
  LocalDemand m_local;
  Tree m_tree;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_DEMAND_H_
