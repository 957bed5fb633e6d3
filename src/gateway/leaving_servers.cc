#include "gateway/leaving_servers.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

bool LeavingServers::Add(const LeavingStatement& statement, TimePoint now) {
  if (const auto found = m_servers.find(statement.server);
      found != m_servers.end()) {
    found->second.said_at = std::min(found->second.said_at, statement.at);
    return false;
  }
  if (m_servers.size() >= kMaxLeavingServers)
    return false;
  m_servers.emplace(statement.server,
                    Record{.said_at = statement.at, .known_at = now});
  return true;
}

std::optional<TimePoint> LeavingServers::Since(ServerKey server) const {
  const auto found = m_servers.find(server);
  if (found == m_servers.end())
    return std::nullopt;
  return found->second.said_at;
}

size_t LeavingServers::Merge(const std::vector<LeavingStatement>& statements,
                             TimePoint now) {
  return static_cast<size_t>(
      std::count_if(statements.begin(), statements.end(),
                    [this, now](const LeavingStatement& statement) {
                      return Add(statement, now);
                    }));
}

std::vector<LeavingStatement> LeavingServers::NewsSince(TimePoint since) const {
  std::vector<LeavingStatement> out;
  for (const auto& [server, record] : m_servers) {
    if (record.known_at > since)
      out.push_back({.server = server, .at = record.said_at});
  }
  return out;
}

void LeavingServers::Sweep(TimePoint now) {
  std::erase_if(m_servers, [now](const auto& entry) {
    return now - entry.second.known_at > kLeavingServerMemory;
  });
}

}  // namespace wasabihook::gateway
