#include "gateway/crash_alert.h"

#include <algorithm>
#include <set>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

bool CrashAlert::OnServerLost(ServerKey server,
                              ServiceKey service,
                              TimePoint now) {
  std::erase_if(m_losses, [&](const Loss& loss) {
    return loss.server == server || now - loss.at > kCrashAlertTime;
  });
  if (m_losses.size() >= kMaxUnconfirmedLosses)
    m_losses.erase(m_losses.begin());
  m_losses.push_back({.server = server, .service = service, .at = now});
  if (CountServices(now - kCrashAlertWindow) < kMinCrashedServices)
    return false;
  const bool raised = !IsActive(now);
  m_raised_at = now;
  return raised;
}

void CrashAlert::OnServerAlive(ServerKey server) {
  if (m_losses.empty())
    return;
  std::erase_if(m_losses,
                [server](const Loss& loss) { return loss.server == server; });
}

bool CrashAlert::IsActive(TimePoint now) const {
  return m_raised_at && now - *m_raised_at <= kCrashAlertTime &&
         lost_services(now) >= kMinCrashedServices;
}

size_t CrashAlert::lost_services(TimePoint now) const {
  return CountServices(now - kCrashAlertTime);
}

size_t CrashAlert::CountServices(TimePoint since) const {
  std::set<ServiceKey> services;
  for (const Loss& loss : m_losses) {
    if (loss.at >= since)
      services.insert(loss.service);
  }
  return services.size();
}

}  // namespace wasabihook::gateway
