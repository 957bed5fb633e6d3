#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_

// PRIVATE HEADER.

#include <map>
#include <optional>
#include <string>
#include <vector>

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

// Selects the instance that keeps the ledger of a team: the first by rendezvous
// hashing that is not known to be unreachable, so that all instances that see
// the same ones select the same.
class AllowanceOwners {
 public:
  // Replaces the instances that can keep ledgers.
  void SetInstances(std::vector<AllowanceOwner> instances);
  // Empty if none of the first kAllowanceOwners can be reached.
  const AllowanceOwner* Select(TeamKey team, TimePoint now);

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
  // Indices into m_instances, best first.
  std::map<TeamKey, std::vector<size_t>> m_candidates;
  std::map<std::string, Backoff> m_backoffs;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_OWNERS_H_
