#include "gateway/callers/caller_budget.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

CallerBounds ComputeCallerBounds(size_t memory_bytes, size_t max_descriptors) {
  const size_t left = max_descriptors > kReservedDescriptors
                          ? max_descriptors - kReservedDescriptors
                          : 0;
  const auto bytes = static_cast<size_t>(static_cast<double>(memory_bytes) *
                                         kCallerMemoryShare);
  return {.bytes = bytes,
          .connections = std::max(kMinCallerConnections, left / 2),
          .served_bytes = bytes / 2};
}

bool CallerBudget::Add(CallerMember* member) {
  while (m_members.size() >= m_bounds.connections) {
    CallerMember* victim = Victim(false);
    if (victim == nullptr)
      return false;
    ++m_given_up;
    victim->GiveUp(true);
    Remove(victim);
  }
  m_members.emplace(member, Held{});
  ++m_sources[member->source()].connections;
  return true;
}

void CallerBudget::Remove(CallerMember* member) {
  const auto found = m_members.find(member);
  if (found == m_members.end())
    return;
  EndService(member);
  Count(member, found->second.bytes, 0);
  m_members.erase(found);
  const auto source = m_sources.find(member->source());
  if (--source->second.connections == 0)
    m_sources.erase(source);
}

void CallerBudget::Count(CallerMember* member, size_t before, size_t now) {
  m_bytes += now - before;
  m_sources[member->source()].bytes += now - before;
}

bool CallerBudget::SetBytes(CallerMember* member, size_t bytes) {
  const auto found = m_members.find(member);
  if (found == m_members.end())
    return true;
  Held& held = found->second;
  const size_t total = bytes + held.served;
  Count(member, held.bytes, total);
  held.bytes = total;
  while (m_bytes > m_bounds.bytes) {
    CallerMember* victim = Victim(true);
    if (victim == nullptr)
      return true;
    ++m_given_up;
    victim->GiveUp(false);
    if (victim == member)
      return false;
    if (const auto left = m_members.find(victim); left != m_members.end()) {
      Count(victim, left->second.bytes, 0);
      left->second.bytes = 0;
    }
  }
  return true;
}

bool CallerBudget::BeginService(CallerMember* member, size_t bytes) {
  const auto found = m_members.find(member);
  if (found == m_members.end())
    return true;
  SourceUse& source = m_sources[member->source()];
  const bool crowded =
      static_cast<double>(m_serving) >=
      kServedConnectionShare * static_cast<double>(m_bounds.connections);
  if (m_served + bytes > m_bounds.served_bytes ||
      (crowded && 2 * source.serving >= m_serving))
    return false;
  Held& held = found->second;
  held.served = bytes;
  held.serving = true;
  m_served += bytes;
  ++m_serving;
  ++source.serving;
  return true;
}

void CallerBudget::EndService(CallerMember* member) {
  const auto found = m_members.find(member);
  if (found == m_members.end() || !found->second.serving)
    return;
  found->second.serving = false;
  --m_serving;
  --m_sources[member->source()].serving;
  m_served -= found->second.served;
  const size_t left =
      found->second.bytes - std::min(found->second.bytes, found->second.served);
  Count(member, found->second.bytes, left);
  found->second.bytes = left;
  found->second.served = 0;
}

CallerMember* CallerBudget::Victim(bool by_bytes) const {
  const auto use_of = [this, by_bytes](const CallerMember* member) {
    const SourceUse& use = m_sources.at(member->source());
    return by_bytes ? use.bytes : use.connections;
  };
  CallerMember* worst = nullptr;
  size_t worst_use = 0;
  for (const auto& [member, held] : m_members) {
    const auto waiting_since = member->waiting_since();
    if (!waiting_since || (by_bytes && held.bytes == 0))
      continue;
    const size_t use = use_of(member);
    const bool worse = worst == nullptr || use > worst_use ||
                       (use == worst_use &&
                        (by_bytes ? held.bytes > m_members.at(worst).bytes
                                  : *waiting_since < *worst->waiting_since()));
    if (worse) {
      worst = member;
      worst_use = use;
    }
  }
  return worst;
}

}  // namespace wasabihook::gateway
