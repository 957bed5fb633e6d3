#ifndef SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_
#define SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "wasabihook/snapshot.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Sub-requests that this instance may have outstanding on one server: grows by
// one per round while it is reached and latency is flat, shrinks on refusals
// and on latency well above the server's own baseline. At least 1 and at most
// the server's slots plus a short queue, or the connections that this instance
// may open to the server if those are fewer. Not thread-safe.
class ConcurrencyLimit {
 public:
  // Adopts the server's limits and the number of live instances. Until the
  // first observation the limit is this instance's share of the slots.
  void Configure(const ServerLimits& server_limits, uint32_t live_instances);
  // Returns to this instance's share of the slots, for a server that comes
  // back.
  void Reset();
  // `outstanding` counts the finished sub-request too.
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
  // Microseconds; the baseline follows falls quickly and rises slowly.
  double m_baseline_latency = 0;
  double m_recent_latency = 0;
  TimePoint m_last_decrease;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_CONCURRENCY_LIMIT_H_
