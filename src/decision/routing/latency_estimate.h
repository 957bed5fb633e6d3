#ifndef SRC_DECISION_ROUTING_LATENCY_ESTIMATE_H_
#define SRC_DECISION_ROUTING_LATENCY_ESTIMATE_H_

#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Exponential moving average of a server's latency that rises faster than it
// falls and decays exponentially while there are no new replies. Not
// thread-safe.
class LatencyEstimate {
 public:
  // Records the latency of a complete reply.
  void Observe(Duration latency, TimePoint now);
  // Records a sub-request that ended without a reply after `latency`, a lower
  // bound of its actual latency.
  void ObserveLowerBound(Duration latency, TimePoint now);
  // Estimate at `now`; 0 if there are no observations.
  Duration At(TimePoint now) const;
  // Replies since the last Reset().
  uint32_t replies() const { return m_replies; }
  void Reset() { *this = LatencyEstimate(); }

 private:
  double m_micros = 0;
  TimePoint m_updated;
  uint32_t m_replies = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_LATENCY_ESTIMATE_H_
