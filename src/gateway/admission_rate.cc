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

double AdmissionRate::WantedPerSecond() const {
  return PerSecond(std::accumulate(m_wanted.begin(), m_wanted.end(), 0.0),
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
    Demand& stale = m_slices[static_cast<size_t>((slice - i) % kSlices)];
    for (size_t rank = 0; rank < kRanks; ++rank)
      m_wanted[rank] -= stale[rank];
    stale = Demand();
  }
}

void AdmissionRate::StartRound() {
  m_admitted = 0;
  m_rejected = 0;
}

void AdmissionRate::Adapt() {
  const bool overloaded =
      m_rejected >= kMinRejected && m_rejected > kRejectedShare * m_admitted;
  if (overloaded) {
    const double rejected_share =
        static_cast<double>(m_rejected) / std::max(m_admitted, 1U);
    const double before = m_limit.value_or(WantedPerSecond());
    m_limit = before * std::max(1 - rejected_share, kMaxAdmissionCut);
    StartRound();
    return;
  }
  if (m_admitted >= kAdmissionRound)
    StartRound();
  if (!m_limit)
    return;
  const double wanted = WantedPerSecond();
  *m_limit += std::max(*m_limit * kAdmissionGrowth, wanted * kAdmissionProbe);
  if (wanted < *m_limit * kAdmissionLift)
    m_limit.reset();
}

double AdmissionRate::AdmittedShare(uint32_t rank) const {
  const double wanted = WantedPerSecond();
  if (!m_limit || wanted <= *m_limit)
    return 1;
  // Each rank gets a part of its equal share; the rest goes to the more urgent
  // ones first.
  const double basic = *m_limit / wanted * kEqualAdmissionShare;
  double rest = *m_limit * (1 - kEqualAdmissionShare);
  const size_t own = std::min<size_t>(rank, kRanks - 1);
  for (size_t i = 0; i < own; ++i) {
    rest -=
        std::min(rest, PerSecond(m_wanted[i], kAdmissionWindow) * (1 - basic));
  }
  const double own_wanted =
      std::max(PerSecond(m_wanted[own], kAdmissionWindow), 1.0);
  return std::min(1.0, basic + rest / own_wanted);
}

bool AdmissionRate::Admit(uint32_t rank, double draw, TimePoint now) {
  Advance(now);
  const size_t index = std::min<size_t>(rank, kRanks - 1);
  ++m_slices[static_cast<size_t>(m_slice % kSlices)][index];
  ++m_wanted[index];
  if (m_limit && draw >= AdmittedShare(rank))
    return false;
  ++m_admitted;
  return true;
}

void AdmissionRate::OnRejected(TimePoint now) {
  Advance(now);
  ++m_rejected;
}

}  // namespace wasabihook::gateway
