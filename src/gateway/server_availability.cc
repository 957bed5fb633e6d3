#include "gateway/server_availability.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

const char* ToString(Availability availability) {
  switch (availability) {
    case Availability::kSound:
      return "sound";
    case Availability::kLeaving:
      return "leaving";
    case Availability::kPaused:
      return "paused";
    case Availability::kMisdirected:
      return "misdirected";
    case Availability::kDown:
      return "down";
  }
  return "unknown";
}

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

void ServerAvailability::OnPause(TimePoint until) {
  m_paused_until = std::max(m_paused_until.value_or(until), until);
}

void ServerAvailability::OnMisdirected(TimePoint now) {
  m_misdirected_until = now + kMisdirectedPause;
}

Availability ServerAvailability::At(TimePoint now, bool down) const {
  if (leaving())
    return Availability::kLeaving;
  if (IsPaused(now))
    return Availability::kPaused;
  if (IsMisdirected(now))
    return Availability::kMisdirected;
  return down ? Availability::kDown : Availability::kSound;
}

bool ServerAvailability::IsUsable(TimePoint now, bool others) const {
  if (IsPaused(now) || IsMisdirected(now))
    return false;
  return !leaving() ||
         (!others && now - *leaving_since() <= kDrainingFallbackPeriod);
}

}  // namespace wasabihook::gateway
