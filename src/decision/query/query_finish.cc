// Completion of a query: finish decision, answer or error, and cancellation of
// outstanding attempts.

#include <iterator>
#include <string>
#include <utility>

#include "decision/query/query.h"

namespace wasabihook {

void Query::MaybeFinish(TimePoint now, Actions& actions) {
  if (actions.remove) {
    return;
  }
  m_soft_deadline_passed = now >= SoftDeadline();
  const bool deadline_passed = now >= m_input.deadline;
  if (!m_snapshot) {
    if (deadline_passed) {
      CompleteWithError(now, actions);
    }
    return;
  }
  // A fetch has a single part, so it is either complete or failed.
  const Fraction min_coverage = m_input.request.kind == RequestKind::kFetch
                                    ? Fraction{1.0}
                                    : m_input.settings->least_coverage;
  switch (DecideFinish(m_input.settings->coverage_policy, min_coverage,
                       {.coverage = m_coverage,
                        .settled = m_settled_parts == m_parts.size(),
                        .soft_deadline_passed = m_soft_deadline_passed,
                        .deadline_passed = deadline_passed})) {
    case FinishDecision::kContinue:
      return;
    case FinishDecision::kAnswer:
      CompleteWithAnswer(now, actions);
      return;
    case FinishDecision::kFail:
      CompleteWithError(now, actions);
      return;
  }
}

void Query::CompleteWithAnswer(TimePoint now, Actions& actions) {
  CollectMissingGroups(now);
  Answer answer;
  answer.snapshot = m_snapshot->id;
  answer.settings_revision = m_snapshot->settings_revision;
  answer.coverage = {.groups_asked = m_coverage.groups_asked,
                     .groups_covered = m_coverage.groups_covered,
                     .records_asked = m_coverage.records_asked,
                     .records_covered = m_coverage.records_covered,
                     .missing_groups = m_missing_groups};
  for (QueryPart& part : m_parts) {
    if (part.state == PartState::kAnswered) {
      std::move(part.rows.begin(), part.rows.end(),
                std::back_inserter(answer.rows));
    }
  }
  FinishAnswer(std::move(answer), m_coverage.share(), now, actions);
  CancelAndRemove(actions);
}

void Query::CompleteWithError(TimePoint now, Actions& actions) {
  CollectMissingGroups(now);
  const std::string message =
      m_admitted_at ? "Too few shard groups answered: " +
                          std::to_string(m_coverage.groups_covered) + " of " +
                          std::to_string(m_coverage.groups_asked) + "."
                    : "The deadline passed while the request was queued.";
  FinishError(FailureCode(now), m_evidence.state(), message, now, actions);
  CancelAndRemove(actions);
}

ErrorCode Query::FailureCode(TimePoint now) const {
  const bool not_run = m_evidence.state() == RunState::kNotRun;
  if (m_skipped_suspect && not_run) {
    return ErrorCode::kQuarantined;
  }
  if (now >= m_input.deadline) {
    return ErrorCode::kDeadlineExceeded;
  }
  if (m_no_replica) {
    return ErrorCode::kSnapshotUnavailable;
  }
  if (not_run && m_saw_overload) {
    return ErrorCode::kOverloaded;
  }
  return m_coverage.groups_covered == 0 ? ErrorCode::kBackendFailed
                                        : ErrorCode::kCoverageTooLow;
}

void Query::CollectMissingGroups(TimePoint now) {
  for (const QueryPart& part : m_parts) {
    if (part.state != PartState::kAnswered) {
      m_missing_groups.push_back(GroupOf(part).id);
    }
    for (const AttemptPtr& attempt : part.outstanding) {
      UpdateSlowestServer(*attempt, now);
    }
  }
}

void Query::CancelOutstanding(Actions& actions) {
  for (QueryPart& part : m_parts) {
    StopWaiting(part);
    for (AttemptPtr& attempt : part.outstanding) {
      actions.cancels.push_back(std::move(attempt));
    }
    part.outstanding.clear();
  }
}

void Query::CancelAndRemove(Actions& actions) {
  CancelOutstanding(actions);
  actions.remove = true;
}

}  // namespace wasabihook
