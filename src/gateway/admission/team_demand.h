#ifndef SRC_GATEWAY_ADMISSION_TEAM_DEMAND_H_
#define SRC_GATEWAY_ADMISSION_TEAM_DEMAND_H_

// PRIVATE HEADER. Demand of the teams for each service set, over the fleet.

#include <array>
#include <cstdint>
#include <unordered_map>

#include "gateway/fleet_tree.h"
#include "gateway/teams/team_directory.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Work that the teams ask for, in sub-requests per second.
using TeamDemandDigest = std::unordered_map<TeamKey, double>;

void MergeTeamDemand(TeamDemandDigest& into, const TeamDemandDigest& from);

// Demand of this instance and, added up along the tree of the change feed, of
// the fleet.
class TeamDemand {
 public:
  using Tree = FleetTree<TeamDemandDigest, MergeTeamDemand>;

  // A request of the team needs `work` sub-requests.
  void Add(TeamKey team, double work, TimePoint now);
  Tree& tree() { return m_tree; }
  // Demand of this instance and of those that follow it.
  TeamDemandDigest Subtree(TimePoint now);
  // Demand of the fleet as known here. `root`: this instance follows none.
  TeamDemandDigest Total(bool root, TimePoint now);

 private:
  static constexpr int64_t kSlices = 4;
  using Work = std::array<double, kSlices>;

  void Advance(TimePoint now);
  TeamDemandDigest Local(TimePoint now);

  int64_t m_slice = 0;
  std::unordered_map<TeamKey, Work> m_teams;
  Tree m_tree;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ADMISSION_TEAM_DEMAND_H_
