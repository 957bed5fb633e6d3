#include "decision/membership/backoff.h"

#include <algorithm>

namespace wasabihook {
namespace {

// Prevents overflow of the shift; the maximum delay is reached well before.
constexpr uint32_t kMaxDoublings = 16;

}  // namespace

Duration Jittered(Duration duration, const RandomSource& random) {
  const auto half = static_cast<uint64_t>(duration.count()) / 2;
  return duration - Duration(half == 0 ? 0 : random() % (half + 1));
}

Duration Backoff::Next(const RandomSource& random) {
  const Duration grown =
      m_base * (int64_t{1} << std::min(m_failures, kMaxDoublings));
  const Duration delay = std::min(m_max, grown);
  ++m_failures;
  return Jittered(delay, random);
}

}  // namespace wasabihook
