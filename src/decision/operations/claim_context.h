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

// Claim events that are reported to metrics and logs.
enum class ClaimEvent : uint8_t {
  kWriteOutcomeUnknown,  // The result of a claim write is unknown.
  kWithdrawn,            // An ungranted claim no longer blocks its key.
  kRecorded,             // An outcome is stored.
  kOutcomeNotStored,     // The claim no longer exists or has a new owner.
  kGivenUp,              // Too many attempts or a full queue; stays claimed.
  kInvalidValue,         // A stored claim could not be decoded.
};

// Dependencies of KeyValueClaimStore. `timers` and `store` outlive every call
// that was started.
struct ClaimStoreDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  RandomSource random;
  InstanceId instance;
  Incarnation incarnation;
  std::function<void(ClaimEvent, const ClaimKey&)> on_event;
};

// Exponential backoff from `base` to `max`. Each delay is drawn at random from
// half of the current value to all of it.
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
