#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_

// PRIVATE HEADER.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/allowance/allowance_portions.h"
#include "gateway/gateway_settings.h"
#include "gateway/teams/team_directory.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

struct AllowanceOwner {
  InstanceId id;
  // "ip:port" of its feed.
  std::string address;
};

// Selects the instances that hold the portions of a team's allowance, by
// rendezvous hashing, and the one to which claims go: the first of them that is
// not known to be unreachable.
//
// Who holds a portion depends on the registry alone and never on who can be
// reached, since instances may differ on that. An entry stays in the registry
// for minutes after its instance has ended, and its portion is lost for so
// long.
class AllowanceOwners {
 public:
  // Replaces the instances that can keep ledgers.
  void SetInstances(std::vector<AllowanceOwner> instances);
  // `size`: number of instances that there may be. `knows_self`: all others
  // have had the time to learn of this one, which can have portions then.
  void SetFleet(uint32_t size, bool knows_self);
  // Empty if none of the first kAllowanceOwners can be reached; this instance
  // keeps a ledger itself then.
  const AllowanceOwner* Select(TeamKey team, TimePoint now);

  const AllowancePortions& PortionsOf(TeamKey team, const InstanceId& self);
  // Null if the instance is not known.
  const std::string* AddressOf(const InstanceId& id) const;

  void OnUnreachable(const std::string& address, TimePoint now);
  void OnReached(const std::string& address) { m_backoffs.erase(address); }

 private:
  struct Backoff {
    TimePoint until;
    Duration delay{0};
  };

  const std::vector<size_t>& CandidatesOf(TeamKey team);
  bool IsPassedOver(const std::string& address, TimePoint now) const;

  std::vector<AllowanceOwner> m_instances;
  std::vector<std::string> m_ids;
  uint32_t m_fleet_size = 0;
  bool m_fleet_knows_self = true;
  // Indices into m_instances, best first.
  std::map<TeamKey, std::vector<size_t>> m_candidates;
  std::map<TeamKey, AllowancePortions> m_portions;
  std::map<std::string, Backoff> m_backoffs;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_
