#ifndef SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_
#define SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_

#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Estimates the service time of whole requests of a pool. Not thread-safe.
class ServiceTimeEstimate {
 public:
  void Observe(Duration latency);
  // Lower estimate of the service time; 0 if there are no observations. Falls
  // quickly and rises slowly, so that a few requests that ran into their
  // deadline do not cause refusals.
  Duration estimate() const {
    return Duration(static_cast<int64_t>(m_lower_estimate));
  }
  Duration mean() const { return Duration(static_cast<int64_t>(m_recent)); }
  // True if recent latencies are well above the long-term baseline.
  bool IsInflated() const;
  // Lowers the estimate. Called when a request is refused because of the
  // estimate while no request is running whose latency could correct it.
  void LowerEstimate();

 private:
  // Microseconds.
  double m_lower_estimate = 0;
  double m_recent = 0;
  double m_baseline = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_SERVICE_TIME_ESTIMATE_H_
