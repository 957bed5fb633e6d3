#include "decision/routing/concurrency_limit.h"

#include <algorithm>

#include "decision/routing/connection_quota.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr double kRecentStep = 0.2;
// Smoothing factors of the baseline latency. They keep it somewhat below the
// median: with a baseline close to the minimum, ordinary variance would look
// like queueing.
constexpr double kBaselineFall = 0.04;
constexpr double kBaselineRise = 0.01;

}  // namespace

void ConcurrencyLimit::Configure(const ServerLimits& server_limits,
                                 uint32_t live_instances) {
  if (server_limits.slots == m_server_limits.slots &&
      server_limits.max_connections == m_server_limits.max_connections &&
      live_instances == m_live_instances) {
    return;
  }
  m_server_limits = server_limits;
  m_live_instances = live_instances;
  const uint32_t slots = std::max<uint32_t>(server_limits.slots, 1);
  m_max_limit =
      std::min(slots + config::kMaxServerQueueLength,
               ConnectionQuota(server_limits.max_connections, live_instances));
  m_initial_limit = std::max(slots / std::max(live_instances, 1U), 1U);
  m_limit =
      std::clamp(m_has_feedback ? m_limit : m_initial_limit, 1.0, m_max_limit);
}

void ConcurrencyLimit::Reset() {
  m_has_feedback = false;
  m_limit = std::min(m_initial_limit, m_max_limit);
  m_baseline_latency = 0;
}

void ConcurrencyLimit::OnSuccess(Duration latency,
                                 uint32_t outstanding,
                                 TimePoint now) {
  const auto micros = static_cast<double>(latency.count());
  if (m_baseline_latency == 0) {
    m_baseline_latency = micros;
    m_recent_latency = micros;
  }
  m_recent_latency += (micros - m_recent_latency) * kRecentStep;
  m_baseline_latency +=
      (micros - m_baseline_latency) *
      (micros > m_baseline_latency ? kBaselineRise : kBaselineFall);
  if (outstanding < value()) {
    return;  // The limit was not reached, so the latency says nothing about it.
  }
  m_has_feedback = true;
  if (m_recent_latency > m_baseline_latency * config::kLimitLatencyFactor) {
    Decrease(now);
  } else {
    m_limit = std::min(m_limit + 1 / m_limit, m_max_limit);
  }
}

void ConcurrencyLimit::OnOverloaded(TimePoint now) {
  m_has_feedback = true;
  Decrease(now);
}

void ConcurrencyLimit::Decrease(TimePoint now) {
  // At most one decrease per recent average latency.
  if (now - m_last_decrease <
      Duration(static_cast<int64_t>(m_recent_latency))) {
    return;
  }
  m_limit = std::max(1.0, m_limit * config::kLimitDecreaseFactor);
  m_last_decrease = now;
}

uint32_t ConcurrencyLimit::value() const {
  return static_cast<uint32_t>(m_limit);
}

}  // namespace wasabihook
