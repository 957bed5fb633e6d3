#include "decision/routing/server_state.h"

#include <algorithm>
#include <cmath>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

double Ratio(Duration a, Duration b) {
  return static_cast<double>(a.count()) / static_cast<double>(b.count());
}

}  // namespace

ReplicaView ServerState::MakeView(const ServerLimits& server_limits,
                                  uint32_t live_instances,
                                  TimePoint now) {
  m_last_seen = now;
  m_limit.Configure(server_limits, live_instances);
  if (m_drain.ConsumeDrainEnd(now)) {
    BeginSlowStart(now);
  }
  ReplicaView view;
  view.outstanding = m_outstanding;
  view.limit = m_limit.value();
  view.latency = m_latency.At(now);
  view.replies = m_latency.replies();
  view.hinted_load = HintedLoad(now);
  view.consecutive_failures = m_ejection.consecutive_failures();
  view.slow_start_share = SlowStartShare(now);
  view.draining = m_drain.IsDraining(now);
  view.drain_hinted = m_drain.IsHinted(now);
  view.backing_off = now < m_backoff_until;
  view.ejected = m_ejection.ejected();
  view.probe_due = m_ejection.IsProbeDue(now);
  view.should_eject = m_ejection.should_eject();
  view.time_until_probe = m_ejection.TimeUntilProbe(now);
  return view;
}

double ServerState::SlowStartShare(TimePoint now) const {
  const Duration age = now - m_slow_start_begin;
  if (age >= config::kSlowStartWindow) {
    return 1;
  }
  const double first = config::kSlowStartInitialShare.value;
  return first + (1 - first) * Ratio(age, config::kSlowStartWindow);
}

void ServerState::BeginSlowStart(TimePoint now) {
  m_slow_start_begin = now;
  m_latency.Reset();
  m_limit.Reset();
}

double ServerState::HintedLoad(TimePoint now) const {
  if (m_other_instances_load <= 0) {
    return 0;
  }
  const double halvings =
      Ratio(now - m_load_reported_at, config::kLoadHintHalfLife);
  const double load = std::min(m_other_instances_load * config::kLoadHintWeight,
                               config::kMaxHintedLoad);
  return halvings > 8 ? 0 : load * std::exp2(-halvings);
}

bool ServerState::TryAcquire(const RoutingPolicy& policy, TimePoint now) {
  if (m_drain.IsDraining(now)) {
    return false;
  }
  const bool probe = m_ejection.IsProbeDue(now);
  if (policy.outlier_ejection && m_ejection.ejected()) {
    if (!probe) {
      return false;
    }
  } else if (policy.concurrency_limits && m_outstanding >= m_limit.value()) {
    return false;
  }
  if (probe) {
    m_ejection.StartProbe(now);
  }
  ++m_outstanding;
  return true;
}

void ServerState::OnReply(const SubReply& reply,
                          Duration latency,
                          TimePoint now,
                          double jitter) {
  const uint32_t outstanding = m_outstanding;
  m_outstanding -= m_outstanding > 0 ? 1 : 0;
  // If a probe is outstanding, the last outstanding sub-request is the probe,
  // even if `latency` includes time before it was sent.
  const TimePoint sent = m_outstanding == 0 ? now : now - latency;
  const Ejection::Change change =
      m_ejection.OnOutcome(reply.outcome, sent, now, jitter);
  if (change == Ejection::Change::kRecovered) {
    BeginSlowStart(now);
  }
  UpdateLatency(reply.outcome, latency, now);
  UpdateLoad(reply, now);
  if (reply.outcome == SubOutcome::kOk) {
    m_limit.OnSuccess(latency, outstanding, now);
  } else if (reply.outcome == SubOutcome::kOverloaded) {
    m_limit.OnOverloaded(now);
    const Duration backoff =
        reply.retry_after.value_or(config::kOverloadBackoff);
    m_backoff_until = now + std::clamp<Duration>(backoff, Duration(0),
                                                 config::kMaxOverloadBackoff);
  } else if (reply.outcome == SubOutcome::kDraining) {
    m_drain.Set(DrainSource::kServer, now);
  }
}

void ServerState::UpdateLatency(SubOutcome outcome,
                                Duration latency,
                                TimePoint now) {
  switch (outcome) {
    case SubOutcome::kOk:
      m_latency.Observe(latency, now);
      break;
    case SubOutcome::kTimedOut:
    case SubOutcome::kCancelled:
    case SubOutcome::kConnectionLost:
      m_latency.ObserveLowerBound(latency, now);
      break;
    default:
      break;  // Refusals and failed connects are quick and don't reflect the
              // latency.
  }
}

void ServerState::UpdateLoad(const SubReply& reply, TimePoint now) {
  if (!reply.load) {
    return;
  }
  const auto& [running, queued, draining] = *reply.load;
  const double total = static_cast<double>(running) + queued;
  m_other_instances_load = std::max(0.0, total - m_outstanding);
  m_load_reported_at = now;
  if (reply.outcome == SubOutcome::kOk) {
    m_drain.SetHint(draining, now);
  }
}

void ServerState::MarkDraining(DrainSource source, TimePoint now) {
  m_drain.Set(source, now);
}

bool ServerState::IsExpired(TimePoint now) const {
  return m_outstanding == 0 && now - m_last_seen > config::kServerRetention;
}

ServerStatus ServerState::Status(const ServerId& id, TimePoint now) const {
  ServerStatus status;
  status.id = id;
  status.outstanding = m_outstanding;
  status.latency_estimate = m_latency.At(now);
  status.concurrency_limit = m_limit.value();
  status.ejected = m_ejection.ejected();
  status.draining = m_drain.IsDraining(now);
  status.slow_start = SlowStartShare(now) < 1;
  status.drain_source = m_drain.Source(now);
  status.time_until_probe = m_ejection.TimeUntilProbe(now);
  status.consecutive_failures = m_ejection.consecutive_failures();
  return status;
}

}  // namespace wasabihook
