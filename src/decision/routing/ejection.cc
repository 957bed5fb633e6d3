#include "decision/routing/ejection.h"

#include <algorithm>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr uint32_t kMaxDoublings = 16;

// The server answered, so it is reachable and alive.
bool IsSignOfLife(SubOutcome outcome) {
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
      Duration(config::kBaseEjection) * (int64_t{1} << doublings),
      config::kMaxEjection);
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
  const bool alive = IsSignOfLife(outcome);
  if (ejected()) {
    // Work sent before the probe says nothing about the server's state now.
    const bool is_probe = m_probe_sent && sent >= *m_probe_sent;
    return is_probe ? OnProbeOutcome(failure, alive, now, jitter)
                    : Change::kNone;
  }
  if (sent < m_recovered) {
    return Change::kNone;
  }
  if (alive) {
    m_failures = 0;
    m_connect_failures = 0;
  } else if (failure) {
    ++m_failures;
    m_connect_failures =
        outcome == SubOutcome::kConnectFailed ? m_connect_failures + 1 : 0;
  }
  return Change::kNone;
}

Ejection::Change Ejection::OnProbeOutcome(bool failure,
                                          bool success,
                                          TimePoint now,
                                          double jitter) {
  m_probe_sent.reset();
  if (failure) {
    Eject(now, jitter);
    return Change::kEjectedAgain;
  }
  if (!success) {
    return Change::kNone;  // Cancelled or not sent; the next request probes.
  }
  m_until.reset();
  m_failures = 0;
  m_connect_failures = 0;
  m_recovered = now;
  return Change::kRecovered;
}

bool Ejection::wanted() const {
  return !ejected() &&
         (m_failures >= config::kConsecutiveFailures ||
          m_connect_failures >= config::kConsecutiveConnectFailures);
}

void Ejection::Eject(TimePoint now, double jitter) {
  if (!ejected() && now - m_recovered > config::kEjectionMemory) {
    m_ejections = 0;
  }
  m_until = now + EjectionTime(m_ejections, jitter);
  m_probe_sent.reset();
  m_ejections = std::min(m_ejections + 1, kMaxDoublings);
}

bool Ejection::IsProbeDue(TimePoint now) const {
  return m_until && !m_probe_sent && now >= *m_until;
}

Duration Ejection::Left(TimePoint now) const {
  return m_until ? std::max(*m_until - now, Duration(0)) : Duration(0);
}

}  // namespace wasabihook
