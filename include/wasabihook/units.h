#ifndef WASABIHOOK_UNITS_H_
#define WASABIHOOK_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>

namespace wasabihook {

using Duration = std::chrono::microseconds;

// Monotonic time from a TimerService. The epoch is unspecified and differs
// between processes, so a TimePoint must not be sent to another process.
struct TimePoint {
  Duration since_epoch{0};

  friend auto operator<=>(const TimePoint&, const TimePoint&) = default;
  friend TimePoint operator+(TimePoint t, Duration d) {
    return {t.since_epoch + d};
  }
  friend TimePoint operator-(TimePoint t, Duration d) {
    return {t.since_epoch - d};
  }
  friend Duration operator-(TimePoint a, TimePoint b) {
    return a.since_epoch - b.since_epoch;
  }
};

// Wall-clock time, milliseconds since the Unix epoch. Comparisons between
// processes must allow for clock skew (config::kClockMargin).
struct WallTime {
  std::chrono::milliseconds since_unix_epoch{0};

  friend auto operator<=>(const WallTime&, const WallTime&) = default;
  friend WallTime operator+(WallTime t, std::chrono::milliseconds d) {
    return {t.since_unix_epoch + d};
  }
  friend WallTime operator-(WallTime t, std::chrono::milliseconds d) {
    return {t.since_unix_epoch - d};
  }
};

// A fraction between 0 and 1.
struct Fraction {
  double value = 0.0;
  friend auto operator<=>(const Fraction&, const Fraction&) = default;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_UNITS_H_
