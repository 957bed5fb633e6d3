#include "decision/routing/ejection.h"

#include <algorithm>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr uint32_t kMaxDoublings = 16;

// True if the outcome proves that the server is reachable and processes
// requests.
bool ProvesReachable(SubOutcome outcome) {
  switch (outcome) {
    case SubOutcome::kOk:
    case SubOutcome::kOverloaded:
    case SubOutcome::kDraining:
    case SubOutcome::kSnapshotNotServed:
    case SubOutcome::kGroupNotHeld:
      return true;
    default:
      return false;
  }
}

Duration EjectionTime(uint32_t ejections, double jitter) {
  const uint32_t doublings = std::min(ejections, kMaxDoublings);
  const Duration grown = std::min<Duration>(
      Duration(config::kBaseEjectionTime) * (int64_t{1} << doublings),
      config::kMaxEjectionTime);
  const double factor = 1 + config::kEjectionJitter.value * (2 * jitter - 1);
  return Duration(
      static_cast<int64_t>(static_cast<double>(grown.count()) * factor));
}

}  // namespace

bool IsServerFailure(SubOutcome outcome) {
  switch (outcome) {
    case SubOutcome::kConnectFailed:
    case SubOutcome::kTimedOut:
    case SubOutcome::kConnectionLost:
    case SubOutcome::kInvalidReply:
    case SubOutcome::kServerError:
      return true;
    default:
      return false;
  }
}

Ejection::Change Ejection::OnOutcome(SubOutcome outcome,
                                     TimePoint sent,
                                     TimePoint now,
                                     double jitter) {
  const bool failure = IsServerFailure(outcome);
  const bool reachable = ProvesReachable(outcome);
  if (ejected()) {
    // Replies to sub-requests sent before the probe don't reflect the server's
    // current state.
    const bool is_probe = m_probe_sent_at && sent >= *m_probe_sent_at;
    return is_probe ? OnProbeOutcome(failure, reachable, now, jitter)
                    : Change::kNone;
  }
  if (sent < m_recovered_at) {
    return Change::kNone;
  }
  if (reachable) {
    m_consecutive_failures = 0;
    m_consecutive_connect_failures = 0;
  } else if (failure) {
    ++m_consecutive_failures;
    m_consecutive_connect_failures = outcome == SubOutcome::kConnectFailed
                                         ? m_consecutive_connect_failures + 1
                                         : 0;
  }
  return Change::kNone;
}

Ejection::Change Ejection::OnProbeOutcome(bool failure,
                                          bool success,
                                          TimePoint now,
                                          double jitter) {
  m_probe_sent_at.reset();
  if (failure) {
    Eject(now, jitter);
    return Change::kEjectedAgain;
  }
  if (!success) {
    return Change::kNone;  // Cancelled or not sent; the next request becomes
                           // the probe.
  }
  m_ejected_until.reset();
  m_consecutive_failures = 0;
  m_consecutive_connect_failures = 0;
  m_recovered_at = now;
  return Change::kRecovered;
}

bool Ejection::should_eject() const {
  return !ejected() &&
         (m_consecutive_failures >= config::kConsecutiveFailures ||
          m_consecutive_connect_failures >=
              config::kConsecutiveConnectFailures);
}

void Ejection::Eject(TimePoint now, double jitter) {
  if (!ejected() && now - m_recovered_at > config::kEjectionCountResetTime) {
    m_ejection_count = 0;
  }
  m_ejected_until = now + EjectionTime(m_ejection_count, jitter);
  m_probe_sent_at.reset();
  m_ejection_count = std::min(m_ejection_count + 1, kMaxDoublings);
}

bool Ejection::IsProbeDue(TimePoint now) const {
  return m_ejected_until && !m_probe_sent_at && now >= *m_ejected_until;
}

Duration Ejection::TimeUntilProbe(TimePoint now) const {
  return m_ejected_until ? std::max(*m_ejected_until - now, Duration(0))
                         : Duration(0);
}

}  // namespace wasabihook
