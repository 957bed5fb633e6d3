#ifndef SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_
#define SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_

#include "wasabihook/units.h"

namespace wasabihook {

// This instance's share of the platform calls of its data centre, as a token
// bucket that holds one second of calls and at least one. Not thread-safe.
class PlatformRateLimiter {
 public:
  // Calls per second of this instance.
  void SetRate(double calls_per_second);
  // Time until a call may be made; zero takes the token.
  Duration Acquire(TimePoint now);

 private:
  double m_rate = 1.0;
  double m_tokens = 1.0;
  TimePoint m_updated;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_PLATFORM_RATE_LIMITER_H_
