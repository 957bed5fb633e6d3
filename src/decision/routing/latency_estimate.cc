#include "decision/routing/latency_estimate.h"

#include <algorithm>
#include <cmath>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Smoothing factors for latencies above and below the estimate.
constexpr double kRise = 0.3;
constexpr double kFall = 0.1;

}  // namespace

void LatencyEstimate::Observe(Duration latency, TimePoint now) {
  const auto micros = static_cast<double>(latency.count());
  if (m_replies == 0 && m_micros == 0) {
    m_micros = micros;
  } else {
    // Starts from the decayed value, so that the first replies of a server that
    // got no work because it was slow show whether it still is.
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
  // Skips the exp2() call for short gaps, where the decay is negligible.
  if (idle > config::kLatencyHalfLife / 16) {
    micros *= std::exp2(
        -static_cast<double>(idle.count()) /
        static_cast<double>(Duration(config::kLatencyHalfLife).count()));
  }
  return std::max(Duration(static_cast<int64_t>(micros)),
                  config::kMinLatencyEstimate);
}

}  // namespace wasabihook
