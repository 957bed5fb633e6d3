// Submission, cancellation and drain.

#include <algorithm>
#include <string>
#include <utility>

#include "decision/operations/operation_checks.h"
#include "decision/operations/operation_run.h"
#include "decision/query/fingerprint.h"
#include "decision/query/query.h"
#include "decision/query/query_tier_core.h"

namespace wasabihook {
namespace {

FinishAction MakeRefusal(const CallerRequest& request,
                         ErrorCode code,
                         std::string message) {
  RequestOutcome outcome;
  outcome.team = request.team;
  outcome.index_set = request.index_set;
  outcome.kind = request.kind;
  outcome.error = code;
  return {ErrorAnswer{request.id, code, RunState::kNotRun, std::move(message),
                      std::nullopt},
          std::move(outcome)};
}

}  // namespace

QueryHandle QueryTierCore::Submit(CallerRequest request, ReplyCallback done) {
  const QueryHandle handle(m_next_handle.fetch_add(1));
  // Incremented before m_draining is read: either this request sees the drain,
  // or the drain counts this request.
  ++m_active;
  if (auto refusal = CheckRequest(request)) {
    DeferReply(handle, std::move(*refusal), std::move(done));
    OnRequestEnded();
    return handle;
  }
  RunInput input = MakeInput(handle, std::move(request));
  Insert(input, std::move(done));
  RequestAdmission(handle, input);
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  if (auto it = shard.entries.find(handle); it != shard.entries.end()) {
    it->second.in_submit = false;
  }
  return handle;
}

std::optional<FinishAction> QueryTierCore::CheckRequest(
    const CallerRequest& request) const {
  if (m_draining.load()) {
    return MakeRefusal(request, ErrorCode::kShuttingDown,
                       "This instance is shutting down.");
  }
  const TeamSettingsPtr settings = m_context.deps.settings->Team(request.team);
  if (!settings) {
    return MakeRefusal(request, ErrorCode::kUnknownTeam,
                       "The team is not known.");
  }
  if (!settings->index_sets.contains(request.index_set)) {
    return MakeRefusal(request, ErrorCode::kUnknownIndexSet,
                       "The team has no such index set.");
  }
  if (request.timeout && *request.timeout <= Duration(0)) {
    return MakeRefusal(request, ErrorCode::kInvalidRequest,
                       "The timeout must be greater than zero.");
  }
  if (request.kind == RequestKind::kOperation) {
    if (const auto fault =
            CheckOperation(request, m_context.deps.timers->WallNow(),
                           settings->claim_retention)) {
      return MakeRefusal(request, fault->code, fault->message);
    }
  }
  if (m_context.deps.quarantine->Check(request.team,
                                       ComputeFingerprint(request)) ==
      QuarantineStatus::kQuarantined) {
    return MakeRefusal(request, ErrorCode::kQuarantined,
                       "The request body is quarantined.");
  }
  return std::nullopt;
}

RunInput QueryTierCore::MakeInput(QueryHandle handle,
                                  CallerRequest request) const {
  TeamSettingsPtr settings = m_context.deps.settings->Team(request.team);
  const Duration timeout =
      std::min(request.timeout.value_or(settings->default_deadline),
               settings->max_deadline);
  const TimePoint now = m_context.deps.timers->Now();
  const Fingerprint fingerprint = ComputeFingerprint(request);
  return {.handle = handle,
          .request = std::move(request),
          .settings = std::move(settings),
          .fingerprint = fingerprint,
          .submitted = now,
          .deadline = now + timeout};
}

void QueryTierCore::Insert(RunInput input, ReplyCallback done) {
  const QueryHandle handle = input.handle;
  Entry entry;
  entry.done = std::move(done);
  if (input.request.kind == RequestKind::kOperation) {
    entry.run = std::make_unique<OperationRun>(&m_context, std::move(input));
  } else {
    entry.run = std::make_unique<Query>(&m_context, std::move(input));
  }
  Shard& shard = ShardOf(handle);
  std::lock_guard lock(shard.mutex);
  shard.entries.emplace(handle, std::move(entry));
}

void QueryTierCore::RequestAdmission(QueryHandle handle,
                                     const RunInput& input) {
  const auto on_result =
      [weak = weak_from_this(), handle, settings = input.settings,
       pool = input.request.index_set](AdmissionResult result) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        const bool used = self->Dispatch(
            handle, [&](RequestRun& run, TimePoint now, Actions& actions) {
              run.OnAdmission(result, now, actions);
              return true;
            });
        // The request ended while it was queued, so its admission is released
        // here.
        if (!used && result == AdmissionResult::kAdmitted &&
            settings->admission_control) {
          self->m_context.deps.admission->Release(settings->team, pool,
                                                  Duration(0), false);
        }
      };
  if (!input.settings->admission_control) {
    on_result(AdmissionResult::kAdmitted);
    return;
  }
  m_context.deps.admission->Request(
      {.team = input.request.team,
       .pool = input.request.index_set,
       .weight = input.settings->fair_share_weight,
       .max_queued = input.settings->max_queued,
       .deadline = input.deadline},
      on_result);
  // Arms the timer of a request that is queued.
  Dispatch(handle, [](RequestRun&, TimePoint, Actions&) { return true; });
}

void QueryTierCore::Cancel(QueryHandle handle) {
  {
    Shard& shard = ShardOf(handle);
    std::unique_lock lock(shard.mutex);
    if (auto node = shard.pending.extract(handle)) {
      lock.unlock();
      OnRequestEnded();
    }
  }
  Dispatch(handle, [](RequestRun& run, TimePoint, Actions& actions) {
    run.OnCancel(actions);
    return true;
  });
}

void QueryTierCore::Drain(std::function<void()> drained) {
  {
    std::lock_guard lock(m_drain_mutex);
    m_drain_callbacks.push_back(std::move(drained));
  }
  m_draining.store(true);
  // Runs on a timer, so that `drained` is not called within Drain().
  m_context.deps.timers->SubscribeOnce(Duration(0), [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && self->m_active.load() == 0) {
      self->NotifyDrained();
    }
  });
}

}  // namespace wasabihook
