#include "gateway/server_availability.h"

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

void ServerAvailability::OnLeaving(TimePoint now) {
  if (!m_leaving_since)
    m_leaving_since = now;
}

void ServerAvailability::OnSaidLeaving(TimePoint since) {
  if (!m_said_leaving_since)
    m_said_leaving_since = since;
}

void ServerAvailability::OnRestarted() {
  *this = ServerAvailability();
}

void ServerAvailability::OnMisdirected(TimePoint now) {
  m_misdirected_until = now + kMisdirectedPause;
}

Availability ServerAvailability::At(TimePoint now, bool down) const {
  if (leaving())
    return Availability::kLeaving;
  if (IsMisdirected(now))
    return Availability::kMisdirected;
  return down ? Availability::kDown : Availability::kSound;
}

bool ServerAvailability::IsUsable(TimePoint now, bool others) const {
  if (IsMisdirected(now))
    return false;
  return !leaving() ||
         (!others && now - *leaving_since() <= kDrainingFallbackPeriod);
}

}  // namespace wasabihook::gateway
