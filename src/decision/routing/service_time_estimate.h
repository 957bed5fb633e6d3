#ifndef SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_
#define SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_

#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Learns how long whole requests of a pool take. Not thread-safe.
class ServiceTimeEstimate {
 public:
  void Observe(Duration latency);
  // Time that most requests need at the least; 0 if nothing is known. Follows
  // short latencies quickly and long ones slowly, so that a few requests that
  // ran into their deadline do not cause refusals.
  Duration estimate() const {
    return Duration(static_cast<int64_t>(m_lower_estimate));
  }
  Duration mean() const { return Duration(static_cast<int64_t>(m_recent)); }
  // True if recent latencies are well above the long-term baseline.
  bool IsInflated() const;
  // Lowers the estimate. Called when the estimate refused a request although
  // nothing was running that could correct it.
  void LowerEstimate();

 private:
  // Microseconds.
  double m_lower_estimate = 0;
  double m_recent = 0;
  double m_baseline = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_
