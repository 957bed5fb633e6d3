#ifndef SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_
#define SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "wasabihook/snapshot.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Adaptive limit on the sub-requests that this instance has outstanding on one
// server (additive increase, multiplicative decrease). It grows by one per
// round of replies while it is reached and the latency is near the server's
// baseline, and shrinks on overload refusals and on latency well above the
// baseline. At least 1 and at most the server's slots plus
// kMaxServerQueueLength, or this instance's connection quota for the server if
// that is lower. Not thread-safe.
class ConcurrencyLimit {
 public:
  // Sets the server's limits and the number of live instances. Until a reply at
  // the limit or a refusal has been observed, the limit is this instance's
  // share of the slots.
  void Configure(const ServerLimits& server_limits, uint32_t live_instances);
  // Resets the limit to this instance's share of the slots. Called when a
  // server returns to service after an ejection or a drain.
  void Reset();
  // `outstanding` includes the sub-request that has just finished.
  void OnSuccess(Duration latency, uint32_t outstanding, TimePoint now);
  void OnOverloaded(TimePoint now);
  uint32_t value() const;

 private:
  void Decrease(TimePoint now);

  ServerLimits m_server_limits{.slots = 0, .max_connections = 0};
  uint32_t m_live_instances = 0;
  double m_initial_limit = 1;
  double m_max_limit = 1;
  bool m_has_feedback = false;
  double m_limit = 1;
  // Moving averages in microseconds; the baseline follows decreases faster than
  // increases.
  double m_baseline_latency = 0;
  double m_recent_latency = 0;
  TimePoint m_last_decrease;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_
