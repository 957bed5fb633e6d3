#ifndef SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_
#define SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_

#include "wasabihook/units.h"

namespace wasabihook {

// Token bucket that limits the platform calls of this instance to its share of
// the rate of its data centre. The capacity is one second of calls, but at
// least one call. Not thread-safe.
class PlatformRateLimiter {
 public:
  void SetRate(double calls_per_second);
  // Takes a token and returns zero, or returns the time until one is available.
  Duration Acquire(TimePoint now);

 private:
  double m_rate = 1.0;
  double m_tokens = 1.0;
  TimePoint m_updated;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_
