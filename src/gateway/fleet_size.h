#ifndef SRC_GATEWAY_FLEET_SIZE_H_
#define SRC_GATEWAY_FLEET_SIZE_H_

// PRIVATE HEADER. Pattern: instances that start together and lose the store
// before they have found each other. Each would take for itself what all may
// use together.

#include <cstdint>
#include <optional>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Number of instances among which limits of the whole fleet are divided.
class FleetSize {
 public:
  // This instance read the registry for the first time and registers.
  // `replaces_entry`: its entry of before is there, and so are those of others.
  void OnRegistering(TimePoint now, bool replaces_entry);
  // The store answered, or an instance that is in contact with it.
  void OnStoreContact(TimePoint now);

  // The registry lists this instance.
  void OnListed(TimePoint now);
  // True if the registry has listed this instance for at least `time`, or did
  // so before the process started.
  bool IsListedFor(Duration time, TimePoint now) const;

  // True once the store was read long enough after the registration for all
  // that started together to be listed. It stays so: what is missed after that
  // are instances that are added.
  bool known() const { return m_known; }
  // `listed`: instances that the registry lists, with this one.
  uint32_t Estimate(uint32_t listed) const;

 private:
  std::optional<TimePoint> m_registering_since;
  std::optional<TimePoint> m_listed_since;
  bool m_replaces_entry = false;
  bool m_known = false;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_FLEET_SIZE_H_
