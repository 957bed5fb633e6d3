#include "decision/routing/service_time_estimate.h"

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Smoothing factors of the moving averages.
constexpr double kEstimateFall = 0.2;
constexpr double kEstimateRise = 0.02;
constexpr double kBaselineRise = 0.005;
constexpr double kBaselineFall = 0.02;
constexpr double kRecentStep = 0.1;
constexpr double kEstimateDecreaseFactor = 0.9;

void UpdateAverage(double* average, double value, double up, double down) {
  if (*average == 0) {
    *average = value;
    return;
  }
  *average += (value - *average) * (value > *average ? up : down);
}

}  // namespace

void ServiceTimeEstimate::Observe(Duration latency) {
  const auto micros = static_cast<double>(latency.count());
  UpdateAverage(&m_lower_estimate, micros, kEstimateRise, kEstimateFall);
  UpdateAverage(&m_recent, micros, kRecentStep, kRecentStep);
  UpdateAverage(&m_baseline, micros, kBaselineRise, kBaselineFall);
}

bool ServiceTimeEstimate::IsInflated() const {
  return m_recent > m_baseline * config::kAdmissionLatencyFactor;
}

void ServiceTimeEstimate::LowerEstimate() {
  m_lower_estimate *= kEstimateDecreaseFactor;
}

}  // namespace wasabihook
