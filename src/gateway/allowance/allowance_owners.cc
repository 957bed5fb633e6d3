#include "gateway/allowance/allowance_owners.h"

#include <algorithm>
#include <utility>

#include "decision/routing/rendezvous.h"

namespace wasabihook::gateway {

void AllowanceOwners::SetInstances(std::vector<AllowanceOwner> instances) {
  const bool same = std::equal(
      instances.begin(), instances.end(), m_instances.begin(),
      m_instances.end(), [](const AllowanceOwner& a, const AllowanceOwner& b) {
        return a.id == b.id && a.address == b.address;
      });
  if (same)
    return;
  m_instances = std::move(instances);
  m_candidates.clear();
  m_ids.clear();
  for (const AllowanceOwner& instance : m_instances)
    m_ids.push_back(instance.id.value());
  std::erase_if(m_backoffs, [this](const auto& entry) {
    return std::none_of(m_instances.begin(), m_instances.end(),
                        [&entry](const AllowanceOwner& instance) {
                          return instance.address == entry.first;
                        });
  });
}

const std::vector<size_t>& AllowanceOwners::CandidatesOf(TeamKey team) {
  if (const auto known = m_candidates.find(team); known != m_candidates.end())
    return known->second;
  // Teams come and go with configurations.
  if (m_candidates.size() >= kMaxTeams)
    m_candidates.clear();
  return m_candidates[team] =
             RendezvousTopK(std::to_string(team.value()), m_ids,
                            std::min(kAllowanceOwners, m_ids.size()));
}

bool AllowanceOwners::IsPassedOver(const std::string& address,
                                   TimePoint now) const {
  const auto found = m_backoffs.find(address);
  return found != m_backoffs.end() && now < found->second.until;
}

const AllowanceOwner* AllowanceOwners::Select(TeamKey team, TimePoint now) {
  for (const size_t index : CandidatesOf(team)) {
    if (!IsPassedOver(m_instances[index].address, now))
      return &m_instances[index];
  }
  return nullptr;
}

void AllowanceOwners::OnUnreachable(const std::string& address, TimePoint now) {
  Backoff& backoff = m_backoffs[address];
  backoff.delay = std::clamp(backoff.delay * 2, kAllowanceRetryDelay,
                             kAllowanceMaxRetryDelay);
  backoff.until = now + backoff.delay;
}

}  // namespace wasabihook::gateway
