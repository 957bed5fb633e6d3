#include "gateway/allowance/allowance_owners.h"

#include <algorithm>
#include <utility>

#include "decision/routing/rendezvous.h"

namespace wasabihook::gateway {

void AllowanceOwners::SetFleet(uint32_t size, bool knows_self) {
  if (size != m_fleet_size || knows_self != m_fleet_knows_self)
    m_portions.clear();
  m_fleet_size = size;
  m_fleet_knows_self = knows_self;
}

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
  m_portions.clear();
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
                            std::min(kAllowancePortions, m_ids.size()));
}

bool AllowanceOwners::IsPassedOver(const std::string& address,
                                   TimePoint now) const {
  const auto found = m_backoffs.find(address);
  return found != m_backoffs.end() && now < found->second.until;
}

const AllowanceOwner* AllowanceOwners::Select(TeamKey team, TimePoint now) {
  const std::vector<size_t>& candidates = CandidatesOf(team);
  const size_t count = std::min(kAllowanceOwners, candidates.size());
  for (size_t i = 0; i < count; ++i) {
    const AllowanceOwner& owner = m_instances[candidates[i]];
    if (!IsPassedOver(owner.address, now))
      return &owner;
  }
  return nullptr;
}

const AllowancePortions& AllowanceOwners::PortionsOf(TeamKey team,
                                                     const InstanceId& self) {
  if (const auto known = m_portions.find(team); known != m_portions.end())
    return known->second;
  if (m_portions.size() >= kMaxTeams)
    m_portions.clear();
  AllowancePortions& out = m_portions[team];
  out.count = static_cast<uint32_t>(
      std::clamp<size_t>(std::max<size_t>(m_fleet_size, m_instances.size()), 1,
                         kAllowancePortions));
  // Instances without feeds can't ask each other.
  out.own = m_instances.empty() && m_fleet_knows_self;
  for (const size_t index : CandidatesOf(team)) {
    if (m_instances[index].id == self)
      out.own = m_fleet_knows_self;
    else
      out.others.push_back(m_instances[index].id);
  }
  return out;
}

const std::string* AllowanceOwners::AddressOf(const InstanceId& id) const {
  const auto found = std::find_if(
      m_instances.begin(), m_instances.end(),
      [&id](const AllowanceOwner& instance) { return instance.id == id; });
  return found == m_instances.end() ? nullptr : &found->address;
}

void AllowanceOwners::OnUnreachable(const std::string& address, TimePoint now) {
  Backoff& backoff = m_backoffs[address];
  backoff.delay = std::clamp(backoff.delay * 2, kAllowanceRetryDelay,
                             kAllowanceMaxRetryDelay);
  backoff.until = now + backoff.delay;
}

}  // namespace wasabihook::gateway
