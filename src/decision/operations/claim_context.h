#ifndef SRC_DECISION_OPERATIONS_CLAIM_CONTEXT_H_
#define SRC_DECISION_OPERATIONS_CLAIM_CONTEXT_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "wasabihook/claim_store.h"
#include "wasabihook/ids.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Noteworthy events of claims, for metrics and logs.
enum class ClaimEvent : uint8_t {
  kUnclearWrite,      // The response of a claim write was lost.
  kWithdrawn,         // A claim that was never granted is now not_run.
  kRecorded,          // An outcome is stored.
  kOutcomeNotStored,  // Another outcome was there, or the claim was gone.
  kGivenUp,           // Attempts or queue space ran out; the claim stays held.
  kInvalidValue,      // A stored claim could not be read.
};

// Collaborators of the claim stores. `timers` and `store` outlive every call
// that was started.
struct ClaimStoreDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  RandomSource random;
  InstanceId instance;
  Incarnation incarnation;
  std::function<void(ClaimEvent, const ClaimKey&)> on_event;
};

// Delay that doubles from `base` to `max`, with jitter from half to whole.
class ClaimBackoff {
 public:
  ClaimBackoff(Duration base, Duration max) : m_base(base), m_max(max) {}

  Duration Next(const RandomSource& random) {
    const Duration full = std::min(m_max, m_base * (int64_t{1} << m_step));
    m_step = std::min(m_step + 1, kMaxStep);
    const auto half = static_cast<uint64_t>(full.count() / 2);
    return Duration(static_cast<int64_t>(half + random() % (half + 1)));
  }
  void Reset() { m_step = 0; }

 private:
  static constexpr uint32_t kMaxStep = 20;

  Duration m_base;
  Duration m_max;
  uint32_t m_step = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_CONTEXT_H_
