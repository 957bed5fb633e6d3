#include "gateway/server_health.h"

#include <algorithm>
#include <cmath>

namespace wasabihook::gateway {
namespace {

// Bounds of one latency sample, so that a single stall does not outweigh a
// hundred normal replies.
constexpr double kMinSample = 0.2;
constexpr double kMaxSample = 20.0;
// Largest random extension of the backoff, as a share of it. Spreads the probes
// of the instances.
constexpr double kBackoffJitter = 0.25;

double MovingAverage(double old, double sample) {
  return old + kServerSampleWeight * (sample - old);
}

}  // namespace

double ServerHealth::FailureShare(TimePoint now) const {
  if (m_failure_share == 0)
    return 0;
  const double half_lives =
      static_cast<double>((now - m_failure_share_at).count()) /
      static_cast<double>(Duration(kFailureHalfLife).count());
  return m_failure_share * std::exp2(-half_lives);
}

void ServerHealth::ObserveFailure(bool failure, TimePoint now) {
  m_failure_share = MovingAverage(FailureShare(now), failure ? 1 : 0);
  m_failure_share_at = now;
}

void ServerHealth::OnReply(Duration latency,
                           Duration median_latency,
                           bool failure,
                           TimePoint now) {
  m_last_reply = now;
  m_down = false;
  m_backoff = kProbeBackoff;
  ObserveFailure(failure, now);
  if (median_latency <= Duration(0) || failure)
    return;
  const double sample = static_cast<double>(latency.count()) /
                        static_cast<double>(median_latency.count());
  m_relative_latency = MovingAverage(
      m_relative_latency, std::clamp(sample, kMinSample, kMaxSample));
}

void ServerHealth::OnRefusal(TimePoint now) {
  m_last_reply = now;
  m_down = false;
  ObserveFailure(true, now);
}

void ServerHealth::OnBrokenConnection(TimePoint now) {
  ObserveFailure(true, now);
}

void ServerHealth::OnUnreachable(TimePoint now, double jitter) {
  ObserveFailure(true, now);
  m_down = true;
  m_probe_at =
      now +
      Duration(static_cast<int64_t>(static_cast<double>(m_backoff.count()) *
                                    (1 + kBackoffJitter * jitter)));
  m_backoff = std::min(m_backoff * 2, kMaxProbeBackoff);
}

void ServerHealth::OnConnected(TimePoint now) {
  m_last_connected = now;
  m_down = false;
}

bool ServerHealth::IsStalled(TimePoint oldest,
                             TimePoint last_reply,
                             Duration median_latency,
                             TimePoint now) {
  const Duration threshold = std::max(
      kMinStallThreshold,
      Duration(static_cast<int64_t>(
          static_cast<double>(median_latency.count()) * kStallFactor)));
  return now - std::max(oldest, last_reply) > threshold;
}

}  // namespace wasabihook::gateway
