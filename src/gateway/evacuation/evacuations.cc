#include "gateway/evacuation/evacuations.h"

namespace wasabihook::gateway {

bool Evacuations::Begin(const DataCentreId& data_centre) {
  const auto [found, added] = m_evacuated.try_emplace(data_centre);
  found->second.reset();
  return added;
}

bool Evacuations::End(const DataCentreId& data_centre) {
  return m_evacuated.erase(data_centre) > 0;
}

void Evacuations::Reconcile(const std::set<DataCentreId>& listed,
                            bool restored,
                            TimePoint now) {
  for (auto& [data_centre, ends_at] : m_evacuated) {
    if (listed.contains(data_centre))
      ends_at.reset();
    else if (!ends_at)
      ends_at = restored ? now + kEvacuationRewriteTime : now;
  }
  for (const DataCentreId& data_centre : listed)
    Begin(data_centre);
  Sweep(now);
}

void Evacuations::Sweep(TimePoint now) {
  std::erase_if(m_evacuated, [now](const auto& entry) {
    return entry.second && *entry.second <= now;
  });
}

}  // namespace wasabihook::gateway
