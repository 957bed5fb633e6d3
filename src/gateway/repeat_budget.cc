#include "gateway/repeat_budget.h"

#include <algorithm>

namespace wasabihook::gateway {

void RepeatBudget::Configure(const ServiceBounds& bounds, uint32_t instances) {
  m_ratio = bounds.retry_ratio * kRepeatShare;
  m_slack =
      bounds.retry_slack * kRepeatShare / std::max<uint32_t>(instances, 1);
  m_slice_length = std::max(bounds.retry_window / kSlices, Duration(1));
}

void RepeatBudget::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / m_slice_length;
  if (slice <= m_slice)
    return;
  const int64_t steps =
      std::min<int64_t>(slice - m_slice, static_cast<int64_t>(kKeptSlices));
  m_slice = slice;
  for (int64_t i = 0; i < steps; ++i) {
    Slice& stale = m_slices[static_cast<size_t>(slice - i) % kKeptSlices];
    m_firsts -= stale.firsts;
    m_repeats -= stale.repeats;
    stale = Slice();
  }
}

void RepeatBudget::OnFirstSend(TimePoint now) {
  Advance(now);
  ++Current().firsts;
  ++m_firsts;
}

double RepeatBudget::Left(TimePoint now) {
  Advance(now);
  // First sends of the slice that is partly outside the window do not count.
  const size_t oldest = static_cast<size_t>(m_slice + 1) % kKeptSlices;
  return m_slack + m_ratio * (m_firsts - m_slices[oldest].firsts) - m_repeats;
}

bool RepeatBudget::TrySpend(TimePoint now, double kept) {
  if (Left(now) < 1 + kept)
    return false;
  ++Current().repeats;
  ++m_repeats;
  return true;
}

void RepeatBudget::Refund() {
  if (Current().repeats == 0)
    return;
  --Current().repeats;
  --m_repeats;
}

}  // namespace wasabihook::gateway
