#include "gateway/fleet_size.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

void FleetSize::OnRegistering(TimePoint now, bool replaces_entry) {
  m_registering_since = now;
  m_known = replaces_entry;
  m_replaces_entry = replaces_entry;
}

void FleetSize::OnListed(TimePoint now) {
  if (!m_listed_since)
    m_listed_since = now;
}

bool FleetSize::IsListedFor(Duration time, TimePoint now) const {
  return m_replaces_entry || (m_listed_since && now - *m_listed_since >= time);
}

void FleetSize::OnStoreContact(TimePoint now) {
  if (m_registering_since && now - *m_registering_since >= kFleetDiscoveryTime)
    m_known = true;
}

uint32_t FleetSize::Estimate(uint32_t listed) const {
  return m_known ? listed : std::max(listed, kUnknownFleetSize);
}

}  // namespace wasabihook::gateway
