#include "gateway/service_retry_budget.h"

#include <algorithm>

namespace wasabihook::gateway {

void ServiceRetryBudget::Configure(const ServiceBounds& bounds,
                                   uint32_t instances) {
  m_ratio = bounds.retry_ratio * kRetryBudgetShare;
  m_slack =
      bounds.retry_slack * kRetryBudgetShare / std::max<uint32_t>(instances, 1);
  m_slice_length = std::max(bounds.retry_window / kSlices, Duration(1));
}

void ServiceRetryBudget::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / m_slice_length;
  if (slice <= m_slice)
    return;
  const int64_t steps =
      std::min<int64_t>(slice - m_slice, static_cast<int64_t>(kStoredSlices));
  m_slice = slice;
  for (int64_t i = 0; i < steps; ++i) {
    Slice& stale = m_slices[static_cast<size_t>(slice - i) % kStoredSlices];
    m_first_attempts -= stale.first_attempts;
    m_repeats -= stale.repeats;
    stale = Slice();
  }
}

void ServiceRetryBudget::OnFirstAttempt(TimePoint now) {
  Advance(now);
  ++Current().first_attempts;
  ++m_first_attempts;
}

double ServiceRetryBudget::Available(TimePoint now) {
  Advance(now);
  // The oldest slice is partly outside the window, so its first attempts are
  // not counted.
  const size_t oldest = static_cast<size_t>(m_slice + 1) % kStoredSlices;
  return m_slack +
         m_ratio * (m_first_attempts - m_slices[oldest].first_attempts) -
         m_repeats;
}

bool ServiceRetryBudget::TrySpend(TimePoint now, double reserve) {
  if (Available(now) < 1 + reserve)
    return false;
  ++Current().repeats;
  ++m_repeats;
  return true;
}

void ServiceRetryBudget::Refund() {
  if (Current().repeats == 0)
    return;
  --Current().repeats;
  --m_repeats;
}

}  // namespace wasabihook::gateway
