#include "gateway/admission_rate.h"

#include <algorithm>
#include <numeric>

namespace wasabihook::gateway {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double PerSecond(double count, Duration time) {
  return count * kMicrosecondsPerSecond / static_cast<double>(time.count());
}

}  // namespace

double AdmissionRate::DemandPerSecond() const {
  return PerSecond(std::accumulate(m_demand.begin(), m_demand.end(), 0.0),
                   kAdmissionWindow);
}

void AdmissionRate::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / (kAdmissionWindow / kSlices);
  if (slice <= m_slice)
    return;
  Adapt();
  const int64_t steps = std::min(slice - m_slice, kSlices);
  m_slice = slice;
  for (int64_t i = 0; i < steps; ++i) {
    PriorityCounts& stale =
        m_slices[static_cast<size_t>((slice - i) % kSlices)];
    for (size_t priority = 0; priority < kPriorities; ++priority)
      m_demand[priority] -= stale[priority];
    stale = PriorityCounts();
  }
}

void AdmissionRate::ResetCounters() {
  m_admitted = 0;
  m_rejected = 0;
}

void AdmissionRate::Adapt() {
  const bool overloaded = m_rejected >= kMinOverloadRejections &&
                          m_rejected > kOverloadRejectedShare * m_admitted;
  if (overloaded) {
    const double rejected_share =
        static_cast<double>(m_rejected) / std::max(m_admitted, 1U);
    const double before = m_limit.value_or(DemandPerSecond());
    m_limit = before * std::max(1 - rejected_share, kMinAdmissionLimitFactor);
    ResetCounters();
    return;
  }
  if (m_admitted >= kAdmissionSampleRequests)
    ResetCounters();
  if (!m_limit)
    return;
  const double demand = DemandPerSecond();
  *m_limit += std::max(*m_limit * kAdmissionGrowth,
                       demand * kMinAdmissionGrowthOfDemand);
  if (demand < *m_limit * kAdmissionLiftThreshold)
    m_limit.reset();
}

double AdmissionRate::AdmittedShare(uint32_t priority) const {
  const double demand = DemandPerSecond();
  if (!m_limit || demand <= *m_limit)
    return 1;
  // Part of the limit is divided in proportion to demand; the rest is given out
  // in order of priority.
  const double equal_share = *m_limit / demand * kEqualPriorityShare;
  double rest = *m_limit * (1 - kEqualPriorityShare);
  const size_t own = std::min<size_t>(priority, kPriorities - 1);
  for (size_t i = 0; i < own; ++i) {
    rest -= std::min(
        rest, PerSecond(m_demand[i], kAdmissionWindow) * (1 - equal_share));
  }
  const double own_demand =
      std::max(PerSecond(m_demand[own], kAdmissionWindow), 1.0);
  return std::min(1.0, equal_share + rest / own_demand);
}

bool AdmissionRate::Admit(uint32_t priority,
                          double draw,
                          TimePoint now,
                          const TeamShare& team_share) {
  Advance(now);
  const size_t index = std::min<size_t>(priority, kPriorities - 1);
  ++m_slices[static_cast<size_t>(m_slice % kSlices)][index];
  ++m_demand[index];
  if (m_limit) {
    const double share = AdmittedShare(priority);
    if (draw >= (team_share ? team_share(share) : share))
      return false;
  }
  ++m_admitted;
  return true;
}

void AdmissionRate::OnRejected(TimePoint now) {
  Advance(now);
  ++m_rejected;
}

}  // namespace wasabihook::gateway
