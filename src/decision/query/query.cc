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
  const Suspicion suspicion = CheckSuspicion();
  m_suspect = suspicion != Suspicion::kNone;
  if (suspicion == Suspicion::kQuarantined) {
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
  m_settled = 0;
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
  m_needed = m_coverage.groups_asked;
  m_fanned_out = false;
  if (m_input.settings->canary || IsSuspect()) {
    StartNextCanary(now, actions);
  } else {
    FanOut(now, actions);
  }
}

void Query::FanOut(TimePoint now, Actions& actions) {
  m_fanned_out = true;
  const std::vector<ServerStatus> status = StatusIfSuspect();
  while (m_next_unsent < m_parts.size()) {
    const size_t index = m_next_unsent++;
    if (MustSpare(index, status)) {
      SparePart(index);
    } else {
      NextAttempt(index, now, actions);
    }
  }
}

void Query::StartNextCanary(TimePoint now, Actions& actions) {
  const std::vector<ServerStatus> status = StatusIfSuspect();
  while (m_next_unsent < m_parts.size()) {
    const size_t index = m_next_unsent++;
    if (!MustSpare(index, status)) {
      NextAttempt(index, now, actions);
      return;
    }
    SparePart(index);
  }
}

std::vector<ServerStatus> Query::StatusIfSuspect() const {
  return m_suspect ? m_context->deps.servers->Status()
                   : std::vector<ServerStatus>();
}

bool Query::MustSpare(size_t index,
                      const std::vector<ServerStatus>& status) const {
  if (!m_suspect) {
    return false;
  }
  // A sub-request without an answer may have crashed its server.
  return m_evidence.state() == RunState::kUnknown ||
         !HasSpareServer(GroupOf(m_parts[index]), status);
}

void Query::SparePart(size_t index) {
  m_spared = true;
  m_parts[index].state = PartState::kFailed;
  ++m_settled;
}

bool Query::IsSuspect() {
  const Suspicion suspicion = CheckSuspicion();
  if (suspicion != Suspicion::kQuarantined &&
      m_coverage.groups_covered >= config::kClearingAnswers) {
    // A body that crashes servers crashes each one that runs it, so one that
    // several groups answered was only in flight beside the cause of the crash.
    m_suspect = false;
    return false;
  }
  // Otherwise a request stays suspect: an entry that expires meanwhile is no
  // proof of innocence.
  m_suspect = m_suspect || suspicion != Suspicion::kNone;
  return m_suspect;
}

bool Query::MayBeCleared() const {
  return CheckSuspicion() != Suspicion::kQuarantined &&
         std::any_of(m_parts.begin(), m_parts.end(), [](const QueryPart& part) {
           return part.state == PartState::kAsking;
         });
}

void Query::HoldSuspect(size_t index, TimePoint now, Actions& actions) {
  QueryPart& part = m_parts[index];
  if (MayBeCleared()) {
    part.state = PartState::kBackingOff;
    SetWake(index, now + config::kSuspectRecheckDelay);
    return;
  }
  m_spared = true;
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
  NoteLatency(attempt, now);
  if (reply.outcome == SubOutcome::kOk) {
    OnPartAnswered(attempt.part, attempt, std::move(reply), now, actions);
  } else {
    OnPartRefused(attempt.part, attempt, reply, now, actions);
  }
  MaybeFinish(now, actions);
  return true;
}

void Query::NoteLatency(const Attempt& attempt, TimePoint now) {
  if (const Duration latency = now - attempt.sent_at; latency > m_slowest) {
    m_slowest = latency;
    m_slowest_server = attempt.server;
  }
}

void Query::OnPartAnswered(size_t index,
                           const Attempt& attempt,
                           SubReply reply,
                           TimePoint now,
                           Actions& actions) {
  QueryPart& part = m_parts[index];
  part.state = PartState::kAnswered;
  part.wake_at.reset();
  part.rows = std::move(reply.rows);
  for (AttemptPtr& loser : part.outstanding) {
    actions.cancels.push_back(std::move(loser));
  }
  part.outstanding.clear();
  ++m_settled;
  ++m_coverage.groups_covered;
  m_coverage.records_covered += attempt.group_records;
  if (!m_fanned_out) {
    FanOut(now, actions);
  }
}

void Query::OnPartRefused(size_t index,
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
    // Asked at most once for each replica, so neither counted nor charged.
    part.unable.push_back(attempt.server);
    --part.attempts;
  } else {
    part.tried.push_back(attempt.server);
    // Neither costs the server anything: it refuses all new work, or got none.
    part.charge_next = reply.outcome != SubOutcome::kDraining &&
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
    HoldSuspect(index, now, actions);
    return;
  }
  if (CoversAllServers(GroupOf(part), part.unable)) {
    OnNoReplica(index, now, actions);
    return;
  }
  if (part.attempts >= m_input.settings->max_attempts) {
    FailPart(index, now, actions);
    return;
  }
  if (!part.charge_next) {
    NextAttempt(index, now, actions);
    return;
  }
  Duration delay = RetryDelay(part.attempts);
  std::vector<ServerId> asked = part.tried;
  asked.insert(asked.end(), part.unable.begin(), part.unable.end());
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
  const bool may_restart = m_restarts < config::kMaxSnapshotRestarts;
  if (may_restart && current && current->id != m_snapshot->id) {
    ++m_restarts;
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
  ++m_settled;
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
    case PartState::kAsking:
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
    if (m_parts[index].ticket == ticket) {
      NextAttempt(index, now, actions);
      MaybeFinish(now, actions);
      return !actions.sends.empty();
    }
  }
  return false;
}

void Query::OnCancel(Actions& actions) {
  m_replied = true;
  Close(actions);
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
