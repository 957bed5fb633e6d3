#include "decision/query/query.h"

#include <algorithm>
#include <utility>

#include "decision/query/planner.h"
#include "wasabihook/config.h"

namespace wasabihook {

Query::Query(EngineContext* context, RunInput input)
    : RequestRun(context, std::move(input)) {}

void Query::Start(TimePoint now, Actions& actions) {
  SnapshotPtr snapshot = CurrentSnapshot();
  if (!snapshot) {
    FinishError(ErrorCode::kSnapshotUnavailable, RunState::kNotRun,
                "The index set has no snapshot.", now, actions);
    actions.remove = true;
    return;
  }
  const QuarantineStatus quarantine_status = CheckQuarantine();
  m_suspect = quarantine_status != QuarantineStatus::kNone;
  if (quarantine_status == QuarantineStatus::kQuarantined) {
    FinishError(ErrorCode::kQuarantined, RunState::kNotRun,
                "The request body is quarantined.", now, actions);
    actions.remove = true;
    return;
  }
  StartEpoch(std::move(snapshot), now, actions);
  MaybeFinish(now, actions);
}

void Query::StartEpoch(SnapshotPtr snapshot, TimePoint now, Actions& actions) {
  m_snapshot = std::move(snapshot);
  ++m_epoch;
  m_wakes = {};
  m_parts.clear();
  m_coverage = {};
  m_settled_parts = 0;
  m_next_unsent = 0;
  m_snapshot_poll_end.reset();
  const std::vector<Destination> plan =
      m_input.request.kind == RequestKind::kFetch
          ? std::vector<Destination>{PlanRecord(*m_snapshot,
                                                m_input.request.record_key)}
          : PlanSearch(*m_snapshot);
  for (const Destination& destination : plan) {
    m_parts.emplace_back().destination = destination;
    m_coverage.records_asked += GroupOf(m_parts.back()).records;
  }
  m_coverage.groups_asked = static_cast<uint32_t>(m_parts.size());
  m_sub_requests_needed = m_coverage.groups_asked;
  m_fanned_out = false;
  if (m_input.settings->canary || IsSuspect()) {
    StartNextCanary(now, actions);
  } else {
    FanOut(now, actions);
  }
}

void Query::FanOut(TimePoint now, Actions& actions) {
  m_fanned_out = true;
  const std::vector<ServerStatus> status = ServerStatusIfSuspect();
  while (m_next_unsent < m_parts.size()) {
    const size_t index = m_next_unsent++;
    if (MustSkipSuspect(index, status)) {
      SkipPart(index);
    } else {
      NextAttempt(index, now, actions);
    }
  }
}

void Query::StartNextCanary(TimePoint now, Actions& actions) {
  const std::vector<ServerStatus> status = ServerStatusIfSuspect();
  while (m_next_unsent < m_parts.size()) {
    const size_t index = m_next_unsent++;
    if (!MustSkipSuspect(index, status)) {
      NextAttempt(index, now, actions);
      return;
    }
    SkipPart(index);
  }
}

std::vector<ServerStatus> Query::ServerStatusIfSuspect() const {
  return m_suspect ? m_context->deps.servers->Status()
                   : std::vector<ServerStatus>();
}

bool Query::MustSkipSuspect(size_t index,
                            const std::vector<ServerStatus>& status) const {
  if (!m_suspect) {
    return false;
  }
  // An unanswered sub-request may have crashed its server.
  return m_evidence.state() == RunState::kUnknown ||
         !HasRedundantServer(GroupOf(m_parts[index]), status);
}

void Query::SkipPart(size_t index) {
  m_skipped_suspect = true;
  m_parts[index].state = PartState::kFailed;
  ++m_settled_parts;
}

bool Query::IsSuspect() {
  const QuarantineStatus quarantine_status = CheckQuarantine();
  if (quarantine_status != QuarantineStatus::kQuarantined &&
      m_coverage.groups_covered >= config::kMinAnswersToClearSuspect) {
    // A body that crashes servers crashes every server that runs it. A body
    // that several groups answered was only in flight at the time of the crash.
    m_suspect = false;
    return false;
  }
  // Otherwise the request stays suspect: the expiry of a quarantine entry does
  // not show that the body is harmless.
  m_suspect = m_suspect || quarantine_status != QuarantineStatus::kNone;
  return m_suspect;
}

bool Query::MayBeCleared() const {
  return CheckQuarantine() != QuarantineStatus::kQuarantined &&
         std::any_of(m_parts.begin(), m_parts.end(), [](const QueryPart& part) {
           return part.state == PartState::kInFlight;
         });
}

void Query::DelaySuspectPart(size_t index, TimePoint now, Actions& actions) {
  QueryPart& part = m_parts[index];
  if (MayBeCleared()) {
    part.state = PartState::kBackingOff;
    SetWake(index, now + config::kSuspectRecheckDelay);
    return;
  }
  m_skipped_suspect = true;
  FailPart(index, now, actions);
}

bool Query::OnReply(const Attempt& attempt,
                    SubReply reply,
                    TimePoint now,
                    Actions& actions) {
  m_evidence.OnReply(reply.outcome);
  if (attempt.epoch != m_epoch) {
    return false;
  }
  QueryPart& part = m_parts[attempt.part];
  if (!TakeOutstanding(part, attempt.id)) {
    return false;
  }
  if (now >= m_input.deadline) {
    MaybeFinish(now, actions);
    return false;
  }
  UpdateSlowestServer(attempt, now);
  if (reply.outcome == SubOutcome::kOk) {
    OnAttemptAnswered(attempt.part, attempt, std::move(reply), now, actions);
  } else {
    OnAttemptFailed(attempt.part, attempt, reply, now, actions);
  }
  MaybeFinish(now, actions);
  return true;
}

void Query::UpdateSlowestServer(const Attempt& attempt, TimePoint now) {
  if (const Duration latency = now - attempt.sent_at;
      latency > m_slowest_latency) {
    m_slowest_latency = latency;
    m_slowest_server = attempt.server;
  }
}

void Query::OnAttemptAnswered(size_t index,
                              const Attempt& attempt,
                              SubReply reply,
                              TimePoint now,
                              Actions& actions) {
  QueryPart& part = m_parts[index];
  part.state = PartState::kAnswered;
  part.wake_at.reset();
  part.rows = std::move(reply.rows);
  for (AttemptPtr& outstanding : part.outstanding) {
    actions.cancels.push_back(std::move(outstanding));
  }
  part.outstanding.clear();
  ++m_settled_parts;
  ++m_coverage.groups_covered;
  m_coverage.records_covered += attempt.group_records;
  if (!m_fanned_out) {
    FanOut(now, actions);
  }
}

void Query::OnAttemptFailed(size_t index,
                            const Attempt& attempt,
                            const SubReply& reply,
                            TimePoint now,
                            Actions& actions) {
  QueryPart& part = m_parts[index];
  if (reply.outcome == SubOutcome::kOverloaded) {
    m_saw_overload = true;
    part.overloaded = true;
  }
  if (reply.outcome == SubOutcome::kSnapshotNotServed ||
      reply.outcome == SubOutcome::kGroupNotHeld) {
    // Happens at most once per replica, so it counts neither towards the
    // attempt limit nor against the retry budget.
    part.unusable_servers.push_back(attempt.server);
    --part.attempts;
  } else {
    part.failed_servers.push_back(attempt.server);
    // A draining server refuses all new work, and without a connection nothing
    // was sent. Neither costs the server anything, so the next attempt needs no
    // retry token.
    part.charge_next_attempt = reply.outcome != SubOutcome::kDraining &&
                               reply.outcome != SubOutcome::kNoConnection;
  }
  if (part.outstanding.empty()) {
    ScheduleRetry(index, reply, now, actions);
  } else {
    ScheduleHedge(index, now);
  }
}

void Query::ScheduleRetry(size_t index,
                          const SubReply& reply,
                          TimePoint now,
                          Actions& actions) {
  QueryPart& part = m_parts[index];
  if (IsSuspect()) {
    part.state = PartState::kBackingOff;
    DelaySuspectPart(index, now, actions);
    return;
  }
  if (CoversAllServers(GroupOf(part), part.unusable_servers)) {
    OnNoReplica(index, now, actions);
    return;
  }
  if (part.attempts >= m_input.settings->max_attempts) {
    FailPart(index, now, actions);
    return;
  }
  if (!part.charge_next_attempt) {
    NextAttempt(index, now, actions);
    return;
  }
  Duration delay = RetryDelay(part.attempts);
  std::vector<ServerId> asked = part.failed_servers;
  asked.insert(asked.end(), part.unusable_servers.begin(),
               part.unusable_servers.end());
  if (CoversAllServers(GroupOf(part), asked)) {
    const Duration named = reply.retry_after.value_or(Duration(0));
    delay = std::max(delay, std::min(named, config::kMaxOverloadBackoff));
  }
  part.state = PartState::kBackingOff;
  SetWake(index, now + delay);
}

void Query::OnNoReplica(size_t index, TimePoint now, Actions& actions) {
  if (!m_snapshot_poll_end) {
    m_snapshot_poll_end = now + config::kSnapshotPollLimit;
  }
  const SnapshotPtr current = CurrentSnapshot();
  const bool may_restart = m_snapshot_restarts < config::kMaxSnapshotRestarts;
  if (may_restart && current && current->id != m_snapshot->id) {
    ++m_snapshot_restarts;
    CancelOutstanding(actions);
    StartEpoch(current, now, actions);
    return;
  }
  if (!may_restart || now >= *m_snapshot_poll_end) {
    m_no_replica = true;
    FailPart(index, now, actions);
    return;
  }
  m_parts[index].state = PartState::kNoReplica;
  SetWake(index, now + config::kSnapshotPollDelay);
}

void Query::FailPart(size_t index, TimePoint now, Actions& actions) {
  m_parts[index].state = PartState::kFailed;
  m_parts[index].wake_at.reset();
  ++m_settled_parts;
  if (!m_fanned_out) {
    StartNextCanary(now, actions);
  }
}

void Query::OnWake(TimePoint now, Actions& actions) {
  if (!m_admitted_at || now >= m_input.deadline) {
    MaybeFinish(now, actions);
    return;
  }
  while (!actions.remove && !m_wakes.empty() && m_wakes.top().first <= now) {
    const auto [due, index] = m_wakes.top();
    m_wakes.pop();
    if (m_parts[index].wake_at == due) {
      m_parts[index].wake_at.reset();
      WakePart(index, now, actions);
    }
  }
  MaybeFinish(now, actions);
}

void Query::WakePart(size_t index, TimePoint now, Actions& actions) {
  switch (m_parts[index].state) {
    case PartState::kInFlight:
      Hedge(index, now, actions);
      return;
    case PartState::kBackingOff:
    case PartState::kNoCapacity:
      NextAttempt(index, now, actions);
      return;
    case PartState::kNoReplica:
      OnNoReplica(index, now, actions);
      return;
    case PartState::kUnsent:
    case PartState::kAnswered:
    case PartState::kFailed:
      return;
  }
}

bool Query::OnCapacity(uint64_t ticket, TimePoint now, Actions& actions) {
  for (size_t index = 0; index < m_parts.size(); ++index) {
    if (m_parts[index].capacity_ticket == ticket) {
      NextAttempt(index, now, actions);
      MaybeFinish(now, actions);
      return !actions.sends.empty();
    }
  }
  return false;
}

void Query::OnCancel(Actions& actions) {
  m_replied = true;
  CancelAndRemove(actions);
}

TimePoint Query::NextWake() const {
  TimePoint next = m_input.deadline;
  if (m_admitted_at && !m_soft_deadline_passed &&
      m_input.settings->coverage_policy == CoveragePolicy::kEarly) {
    next = std::min(next, SoftDeadline());
  }
  return m_wakes.empty() ? next : std::min(next, m_wakes.top().first);
}

TimePoint Query::SoftDeadline() const {
  return m_input.submitted + m_input.settings->soft_deadline;
}

void Query::SetWake(size_t index, TimePoint at) {
  m_parts[index].wake_at = at;
  m_wakes.emplace(at, index);
}

}  // namespace wasabihook
