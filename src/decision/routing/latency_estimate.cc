#include "decision/routing/latency_estimate.h"

#include <algorithm>
#include <cmath>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Shares by which one reply moves the estimate.
constexpr double kRise = 0.3;
constexpr double kFall = 0.1;

}  // namespace

void LatencyEstimate::Observe(Duration latency, TimePoint now) {
  const auto micros = static_cast<double>(latency.count());
  if (m_replies == 0 && m_micros == 0) {
    m_micros = micros;
  } else {
    // What has decayed stays so: a server that was left alone because it was
    // slow shows by its first replies whether it still is.
    const auto decayed = static_cast<double>(At(now).count());
    m_micros =
        decayed + (micros - decayed) * (micros > decayed ? kRise : kFall);
  }
  m_updated = now;
  ++m_replies;
}

void LatencyEstimate::ObserveLowerBound(Duration latency, TimePoint now) {
  if (static_cast<double>(latency.count()) > m_micros) {
    Observe(latency, now);
  }
}

Duration LatencyEstimate::At(TimePoint now) const {
  if (m_micros == 0) {
    return Duration(0);
  }
  const Duration idle = now - m_updated;
  double micros = m_micros;
  // Short gaps between replies are not worth an exp2().
  if (idle > config::kLatencyHalfLife / 16) {
    micros *= std::exp2(
        -static_cast<double>(idle.count()) /
        static_cast<double>(Duration(config::kLatencyHalfLife).count()));
  }
  return std::max(Duration(static_cast<int64_t>(micros)),
                  config::kMinLatencyEstimate);
}

}  // namespace wasabihook
