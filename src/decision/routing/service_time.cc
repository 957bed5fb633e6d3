#include "decision/routing/service_time.h"

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Shares by which one latency moves an average.
constexpr double kFast = 0.2;
constexpr double kSlow = 0.02;
constexpr double kBaselineRise = 0.005;
constexpr double kBaselineFall = 0.02;
constexpr double kRecent = 0.1;
constexpr double kRelaxFactor = 0.9;

void Follow(double* average, double value, double up, double down) {
  if (*average == 0) {
    *average = value;
    return;
  }
  *average += (value - *average) * (value > *average ? up : down);
}

}  // namespace

void ServiceTime::Observe(Duration latency) {
  const auto micros = static_cast<double>(latency.count());
  Follow(&m_low, micros, kSlow, kFast);
  Follow(&m_recent, micros, kRecent, kRecent);
  Follow(&m_baseline, micros, kBaselineRise, kBaselineFall);
}

bool ServiceTime::IsInflated() const {
  return m_recent > m_baseline * config::kAdmissionLatencyFactor;
}

void ServiceTime::Relax() {
  m_low *= kRelaxFactor;
}

}  // namespace wasabihook
