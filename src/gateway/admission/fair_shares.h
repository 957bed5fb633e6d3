#ifndef SRC_GATEWAY_ADMISSION_FAIR_SHARES_H_
#define SRC_GATEWAY_ADMISSION_FAIR_SHARES_H_

// PRIVATE HEADER. Pattern: a service is short of room while one team asks for
// several times its usual, within its allowance.

#include <vector>

#include "gateway/admission/team_demand.h"

namespace wasabihook::gateway {

// Divides the room of a service max-min fairly among the teams that ask for it:
// each gets what it asks for, or as much as any other. What a team doesn't use
// is lent to the others. All instances that know the same demand decide alike.
class FairShares {
 public:
  // Demand of the fleet.
  void SetDemand(const TeamDemandDigest& demand);

  // Share of the team's requests to admit while a service admits
  // `admitted_share` of all. The result for all teams together is the same
  // amount of work. Teams that are not known count as small. At least
  // kMinTeamShare of `admitted_share`, so that no team starves.
  double ShareOf(TeamKey team, double admitted_share) const;
  size_t teams() const { return m_demand.size(); }

 private:
  // Largest amount of work that any team gets.
  double LevelFor(double room) const;

  TeamDemandDigest m_demand;
  // Ascending, and the sum of all.
  std::vector<double> m_sorted;
  double m_total = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ADMISSION_FAIR_SHARES_H_
