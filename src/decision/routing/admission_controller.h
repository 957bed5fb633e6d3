#ifndef SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_
#define SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/timer_service.h"
#include "wasabihook/units.h"

namespace wasabihook {

// What asks to be admitted. A pool is the set of backend servers that an index
// set uses; teams that share one compete by weight.
struct AdmissionRequest {
  TeamId team;
  IndexSetId pool;
  uint32_t weight = 1;
  uint32_t max_queued = 0;
  TimePoint deadline;
};

enum class AdmissionResult : uint8_t {
  kAdmitted,
  kQueueFull,        // Refused at once.
  kDeadlineTooShort  // The work could not finish in time.
};

// Bounded, deadline-aware admission of whole requests. The limit of a pool
// adapts to the latency that its servers show. Thread-safe.
class AdmissionController {
 public:
  using Callback = std::function<void(AdmissionResult)>;

  virtual ~AdmissionController() = default;

  // Decides now or later; `done` is called once, possibly from within
  // Request(), or from Release() of another request, or from a timer.
  virtual void Request(AdmissionRequest request, Callback done) = 0;
  // Ends a request that was admitted. `overloaded` is true if a server refused
  // for overload or no server could take the work.
  virtual void Release(const TeamId& team,
                       const IndexSetId& pool,
                       Duration latency,
                       bool overloaded) = 0;
  // Capacity of the pool for this instance: requests that may run at once at
  // the most, from slots and the number of live instances.
  virtual void SetPoolCapacity(const IndexSetId& pool, uint32_t requests) = 0;

  static std::unique_ptr<AdmissionController> Create(TimerService* timers);
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_ADMISSION_CONTROLLER_H_
