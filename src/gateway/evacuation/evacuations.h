#ifndef SRC_GATEWAY_EVACUATION_EVACUATIONS_H_
#define SRC_GATEWAY_EVACUATION_EVACUATIONS_H_

// PRIVATE HEADER. Pattern: operators empty a data centre, and the store is
// restored from a copy of before.

#include <map>
#include <optional>
#include <set>

#include "gateway/gateway_settings.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Data centres whose servers get no requests until the operators take it back.
class Evacuations {
 public:
  // Return true if that changes anything.
  bool Begin(const DataCentreId& data_centre);
  bool End(const DataCentreId& data_centre);
  // The store was read anew, and lists these. What it no longer lists has
  // ended, unless the store was restored: operators then write again what the
  // copy lacks, which is kept for kEvacuationRewriteTime.
  void Reconcile(const std::set<DataCentreId>& listed,
                 bool restored,
                 TimePoint now);
  // Ends those that were not written again in time.
  void Sweep(TimePoint now);

  bool Contains(const DataCentreId& data_centre) const {
    return !m_evacuated.empty() && m_evacuated.contains(data_centre);
  }
  size_t size() const { return m_evacuated.size(); }

 private:
  // With the time at which it ends, if the store does not list it.
  std::map<DataCentreId, std::optional<TimePoint>> m_evacuated;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_EVACUATION_EVACUATIONS_H_
