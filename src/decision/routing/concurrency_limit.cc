#include "decision/routing/concurrency_limit.h"

#include <algorithm>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr double kRecentStep = 0.2;
constexpr double kBaselineFall = 0.2;
constexpr double kBaselineRise = 0.005;

}  // namespace

void ConcurrencyLimit::Configure(uint32_t slots, uint32_t live_instances) {
  if (slots == m_slots && live_instances == m_live_instances) {
    return;
  }
  m_slots = std::max<uint32_t>(slots, 1);
  m_live_instances = std::max<uint32_t>(live_instances, 1);
  if (!m_learned) {
    m_limit = std::max<uint32_t>(m_slots / m_live_instances, 1);
  }
  m_limit = std::clamp<double>(m_limit, 1, m_slots + config::kServerQueue);
}

void ConcurrencyLimit::OnSuccess(Duration latency,
                                 uint32_t outstanding,
                                 TimePoint now) {
  const auto micros = static_cast<double>(latency.count());
  if (m_baseline == 0) {
    m_baseline = micros;
    m_recent = micros;
  }
  m_recent += (micros - m_recent) * kRecentStep;
  m_baseline += (micros - m_baseline) *
                (micros > m_baseline ? kBaselineRise : kBaselineFall);
  if (outstanding < value()) {
    return;  // The limit was not reached, so nothing shows that it matters.
  }
  m_learned = true;
  if (m_recent > m_baseline * config::kLimitLatencyFactor) {
    Decrease(now);
  } else {
    m_limit =
        std::min<double>(m_limit + 1 / m_limit, m_slots + config::kServerQueue);
  }
}

void ConcurrencyLimit::OnRefused(TimePoint now) {
  m_learned = true;
  Decrease(now);
}

void ConcurrencyLimit::Decrease(TimePoint now) {
  // One decrease for each round of replies.
  if (now - m_last_decrease < Duration(static_cast<int64_t>(m_recent))) {
    return;
  }
  m_limit = std::max(1.0, m_limit * config::kLimitDecrease);
  m_last_decrease = now;
}

uint32_t ConcurrencyLimit::value() const {
  return static_cast<uint32_t>(m_limit);
}

}  // namespace wasabihook
