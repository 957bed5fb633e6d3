#ifndef SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_
#define SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/timer_service.h"
#include "wasabihook/units.h"

namespace wasabihook {

// A request for admission. A pool is the set of backend servers that an index
// set uses; teams that share a pool get its capacity in proportion to their
// weights.
struct AdmissionRequest {
  TeamId team;
  IndexSetId pool;
  uint32_t weight = 1;
  uint32_t max_queued = 0;
  TimePoint deadline;
};

enum class AdmissionResult : uint8_t {
  kAdmitted,
  kQueueFull,        // The queue is full or the wait is too long.
  kDeadlineTooShort  // The request cannot finish before its deadline.
};

// Deadline-aware admission control for whole requests, with bounded queues. The
// concurrency limit of a pool adapts to the latency of its requests.
// Thread-safe.
class AdmissionController {
 public:
  using Callback = std::function<void(AdmissionResult)>;

  virtual ~AdmissionController() = default;

  // Admits, queues or refuses the request. Calls `done` exactly once: from
  // within Request(), from Release() of another request, from SetPoolCapacity()
  // or from a timer.
  virtual void Request(AdmissionRequest request, Callback done) = 0;
  // Reports the end of an admitted request. `overloaded` is true if a server
  // refused for overload or no server could take the work.
  virtual void Release(const TeamId& team,
                       const IndexSetId& pool,
                       Duration latency,
                       bool overloaded) = 0;
  // Sets the upper bound of the pool's concurrency limit on this instance,
  // derived from the servers' slots and the number of live instances.
  virtual void SetPoolCapacity(const IndexSetId& pool, uint32_t requests) = 0;

  static std::unique_ptr<AdmissionController> Create(TimerService* timers);
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_
