#ifndef SRC_DECISION_MEMBERSHIP_BACKOFF_H_
#define SRC_DECISION_MEMBERSHIP_BACKOFF_H_

#include "wasabihook/random_source.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Returns a random duration from half of `duration` to all of it.
Duration Jittered(Duration duration, const RandomSource& random);

// Exponential back-off with jitter. Not thread-safe.
class Backoff {
 public:
  Backoff(Duration base, Duration max) : m_base(base), m_max(max) {}

  // Delay before the next attempt after a failure.
  Duration Next(const RandomSource& random);
  void Reset() { m_failures = 0; }

 private:
  Duration m_base;
  Duration m_max;
  uint32_t m_failures = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_MEMBERSHIP_BACKOFF_H_
