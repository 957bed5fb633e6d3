#include "decision/settings/platform_rate_limiter.h"

#include <algorithm>

namespace wasabihook {
namespace {

// Calls per second; keeps the time to the next token finite.
constexpr double kMinRate = 0.01;

}  // namespace

void PlatformRateLimiter::SetRate(double calls_per_second) {
  m_rate = std::max(kMinRate, calls_per_second);
}

Duration PlatformRateLimiter::Acquire(TimePoint now) {
  using Seconds = std::chrono::duration<double>;
  const double elapsed =
      std::chrono::duration_cast<Seconds>(now - m_updated).count();
  m_tokens = std::min(std::max(1.0, m_rate), m_tokens + elapsed * m_rate);
  m_updated = now;
  if (m_tokens >= 1.0) {
    m_tokens -= 1.0;
    return Duration(0);
  }
  // Adds a microsecond, because a delay that is rounded down would end just
  // before the token is available and require a second wait.
  return std::chrono::duration_cast<Duration>(
             Seconds((1.0 - m_tokens) / m_rate)) +
         Duration(1);
}

}  // namespace wasabihook
