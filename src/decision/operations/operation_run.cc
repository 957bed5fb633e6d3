#include "decision/operations/operation_run.h"

#include <algorithm>
#include <utility>

#include "decision/query/planner.h"
#include "decision/query/query_part.h"
#include "decision/routing/retry_budget.h"
#include "wasabihook/config.h"

namespace wasabihook {

OperationRun::OperationRun(EngineContext* context, RunInput input)
    : RequestRun(context, std::move(input)) {}

ClaimKey OperationRun::MakeClaimKey() const {
  return {m_input.request.team, m_input.request.idempotency_key};
}

void OperationRun::Start(TimePoint now, Actions& actions) {
  m_snapshot = CurrentSnapshot();
  if (!m_snapshot) {
    Refuse(ErrorCode::kSnapshotUnavailable, RunState::kNotRun,
           "The index set has no snapshot.", now, actions);
    return;
  }
  m_group = PlanRecord(*m_snapshot, m_input.request.record_key).group;
  m_sub_requests_needed = 1;
  const QuarantineStatus quarantine_status = CheckQuarantine();
  if (quarantine_status == QuarantineStatus::kQuarantined ||
      (quarantine_status == QuarantineStatus::kSuspect &&
       !HasRedundantServer(group(), m_context->deps.servers->Status()))) {
    Refuse(ErrorCode::kQuarantined, RunState::kNotRun,
           "The request body is quarantined.", now, actions);
    return;
  }
  m_state = State::kClaiming;
  actions.claim =
      ClaimAction{MakeClaimKey(), m_input.fingerprint, m_input.deadline};
}

void OperationRun::OnClaim(ClaimResult result,
                           TimePoint now,
                           Actions& actions) {
  switch (result.status) {
    case ClaimStatus::kGranted:
      m_nonce = std::move(result.nonce);
      Dispatch(now, actions);
      return;
    case ClaimStatus::kAlreadyDone:
      Replay(result.outcome, now, actions);
      return;
    case ClaimStatus::kHeld:
      Refuse(ErrorCode::kClaimConflict, RunState::kUnknown,
             "An earlier request with this idempotency key has no recorded "
             "outcome.",
             now, actions);
      return;
    case ClaimStatus::kMismatch:
      Refuse(ErrorCode::kClaimConflict, RunState::kNotRun,
             "The idempotency key was used with another body.", now, actions);
      return;
    case ClaimStatus::kUnavailable:
      Refuse(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
             "The claim could not be written.", now, actions);
      return;
  }
}

void OperationRun::Dispatch(TimePoint now, Actions& actions) {
  StopWaiting();
  m_wake_at.reset();
  // Checked after the claim is granted: claiming and waiting take time, and a
  // late dispatch would run for a caller that no longer waits.
  if (m_replied || m_input.deadline - now < config::kMinOperationTimeLeft) {
    EndAsNotRun(ErrorCode::kDeadlineTooShort,
                "The remaining time is too short to run the operation.", now,
                actions);
    return;
  }
  if (CoversAllServers(group(), m_refusing_servers)) {
    m_refusing_servers.clear();
  }
  const AttemptPtr attempt =
      Send(*m_snapshot, group(), m_refusing_servers, now, actions);
  if (!attempt) {
    WaitForCapacity(now);
    return;
  }
  if (m_sub_requests_sent == 1) {
    m_context->deps.retry_budget->OnFirstAttempt(
        m_input.request.team, m_input.settings->extra_load_budget);
  }
  m_state = State::kDispatched;
  m_outstanding = attempt->id;
}

void OperationRun::WaitForCapacity(TimePoint now) {
  m_saw_overload = true;
  m_state = State::kNoCapacity;
  m_capacity_ticket = m_context->waiters.Add(group(), m_input.handle);
  m_wake_at = now + config::kCapacityRetryDelay;
}

void OperationRun::StopWaiting() {
  if (m_capacity_ticket) {
    m_context->waiters.Remove(group(), *m_capacity_ticket);
    m_capacity_ticket.reset();
  }
}

bool OperationRun::OnReply(const Attempt& attempt,
                           SubReply reply,
                           TimePoint now,
                           Actions& actions) {
  if (m_outstanding != attempt.id) {
    return false;
  }
  m_outstanding.reset();
  m_slowest_server = attempt.server;
  if (reply.outcome == SubOutcome::kOk) {
    Succeed(std::move(reply), now, actions);
  } else if (IsProvablyNotRun(reply.outcome)) {
    m_refusing_servers.push_back(attempt.server);
    Retry(reply, now, actions);
  } else {
    EndWithUnknownOutcome(reply.outcome, now, actions);
  }
  return true;
}

void OperationRun::Retry(const SubReply& reply,
                         TimePoint now,
                         Actions& actions) {
  const bool overloaded = reply.outcome == SubOutcome::kOverloaded;
  m_saw_overload = m_saw_overload || overloaded;
  const bool may_retry =
      !m_replied && m_sub_requests_sent < m_input.settings->max_attempts &&
      CheckQuarantine() == QuarantineStatus::kNone &&
      m_context->deps.retry_budget->TrySpend(m_input.request.team);
  if (!may_retry) {
    EndAsNotRun(overloaded ? ErrorCode::kOverloaded : ErrorCode::kBackendFailed,
                "No server accepted the operation.", now, actions);
    return;
  }
  m_state = State::kBackingOff;
  m_wake_at = now + RetryDelay(m_sub_requests_sent);
}

void OperationRun::Succeed(SubReply reply, TimePoint now, Actions& actions) {
  Record({RunState::kRan, reply.rows, reply.snapshot}, actions);
  if (!m_replied) {
    ReplyAnswer(std::move(reply.rows), reply.snapshot, false, now, actions);
  }
  actions.remove = true;
}

void OperationRun::EndWithUnknownOutcome(SubOutcome outcome,
                                         TimePoint now,
                                         Actions& actions) {
  Record({RunState::kUnknown, {}, m_snapshot->id}, actions);
  if (!m_replied) {
    m_missing_groups = {group().id};
    ReplyError(outcome == SubOutcome::kTimedOut ? ErrorCode::kDeadlineExceeded
                                                : ErrorCode::kBackendFailed,
               RunState::kUnknown,
               "The server did not confirm the operation; it may have run.",
               now, actions);
  }
  actions.remove = true;
}

void OperationRun::EndAsNotRun(ErrorCode code,
                               std::string message,
                               TimePoint now,
                               Actions& actions) {
  StopWaiting();
  Record({RunState::kNotRun, {}, m_snapshot->id}, actions);
  if (!m_replied) {
    ReplyError(code, RunState::kNotRun, std::move(message), now, actions);
  }
  actions.remove = true;
}

void OperationRun::Replay(const OperationOutcome& outcome,
                          TimePoint now,
                          Actions& actions) {
  if (outcome.run_state == RunState::kRan) {
    if (!m_replied) {
      ReplyAnswer(outcome.rows, outcome.snapshot, true, now, actions);
    }
    actions.remove = true;
    return;
  }
  Refuse(
      ErrorCode::kBackendFailed, outcome.run_state,
      "An earlier request with this idempotency key ended without an answer.",
      now, actions);
}

void OperationRun::Refuse(ErrorCode code,
                          RunState run_state,
                          std::string message,
                          TimePoint now,
                          Actions& actions) {
  if (!m_replied) {
    ReplyError(code, run_state, std::move(message), now, actions);
  }
  actions.remove = true;
}

void OperationRun::ReplyAnswer(std::vector<std::string> rows,
                               SnapshotId snapshot,
                               bool replayed,
                               TimePoint now,
                               Actions& actions) {
  Answer answer;
  answer.snapshot = snapshot;
  answer.settings_revision = m_snapshot->settings_revision;
  // An operation is sent to one group and searches no records.
  answer.coverage.groups_asked = 1;
  answer.coverage.groups_covered = 1;
  answer.rows = std::move(rows);
  answer.replayed = replayed;
  FinishAnswer(std::move(answer), Fraction{1.0}, now, actions);
}

void OperationRun::ReplyError(ErrorCode code,
                              RunState run_state,
                              std::string message,
                              TimePoint now,
                              Actions& actions) {
  FinishError(code, run_state, std::move(message), now, actions);
}

void OperationRun::Record(OperationOutcome outcome, Actions& actions) {
  actions.record =
      RecordOutcomeAction{MakeClaimKey(), m_nonce, std::move(outcome)};
}

void OperationRun::OnWake(TimePoint now, Actions& actions) {
  if (now < m_input.deadline) {
    if (m_wake_at && now >= *m_wake_at) {
      Dispatch(now, actions);
    }
    return;
  }
  switch (m_state) {
    case State::kQueued:
      Refuse(ErrorCode::kDeadlineExceeded, RunState::kNotRun,
             "The deadline passed while the request was queued.", now, actions);
      return;
    case State::kClaiming:
      // Nothing was dispatched; a claim that is granted later is released.
      if (!m_replied) {
        ReplyError(ErrorCode::kPlatformUnavailable, RunState::kNotRun,
                   "The claim was not written in time.", now, actions);
      }
      return;
    case State::kNoCapacity:
    case State::kBackingOff:
      EndAsNotRun(ErrorCode::kDeadlineExceeded,
                  "No server accepted the operation in time.", now, actions);
      return;
    case State::kDispatched:
      if (!m_replied) {
        ReplyError(ErrorCode::kDeadlineExceeded, RunState::kUnknown,
                   "The operation was sent but not confirmed in time.", now,
                   actions);
      }
      return;
  }
}

bool OperationRun::OnCapacity(uint64_t ticket,
                              TimePoint now,
                              Actions& actions) {
  if (m_capacity_ticket != ticket) {
    return false;
  }
  Dispatch(now, actions);
  return !actions.sends.empty();
}

void OperationRun::OnCancel(Actions& actions) {
  m_replied = true;
  switch (m_state) {
    case State::kQueued:
      actions.remove = true;
      return;
    case State::kNoCapacity:
    case State::kBackingOff:
      StopWaiting();
      Record({RunState::kNotRun, {}, m_snapshot->id}, actions);
      actions.remove = true;
      return;
    case State::kClaiming:
    case State::kDispatched:
      return;
  }
}

TimePoint OperationRun::NextWake() const {
  // After the reply only callbacks of the claim store and the transport are
  // pending.
  const TimePoint end =
      m_replied ? TimePoint{Duration::max()} : m_input.deadline;
  return m_wake_at ? std::min(*m_wake_at, end) : end;
}

}  // namespace wasabihook
