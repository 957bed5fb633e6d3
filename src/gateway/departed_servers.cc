#include "gateway/departed_servers.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

void DepartedServers::Add(const ServerEntry& last,
                          StorePosition position,
                          TimePoint now) {
  if (m_servers.size() >= kMaxDepartedServers && !m_servers.contains(last.id))
    m_servers.erase(std::min_element(
        m_servers.begin(), m_servers.end(), [](const auto& a, const auto& b) {
          return a.second.known_at < b.second.known_at;
        }));
  m_servers[last.id] = {.started_at_ms = last.started_at_ms,
                        .sequence = last.sequence,
                        .left_at = position,
                        .known_at = now};
}

bool DepartedServers::IsListedAgain(const ServerEntry& entry,
                                    StorePosition position,
                                    bool listed) const {
  const auto found = m_servers.find(entry.id);
  if (found == m_servers.end() || position.era <= found->second.left_at.era)
    return false;
  const Record& last = found->second;
  // The clock of a server that started again may be behind, so an earlier start
  // counts only where the entry may be old.
  if (entry.started_at_ms != last.started_at_ms)
    return listed && entry.started_at_ms < last.started_at_ms;
  return entry.sequence && last.sequence && *entry.sequence <= *last.sequence;
}

void DepartedServers::Sweep(TimePoint now) {
  std::erase_if(m_servers, [now](const auto& entry) {
    return now - entry.second.known_at > kDepartedServerMemory;
  });
}

}  // namespace wasabihook::gateway
