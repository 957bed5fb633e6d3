#include "decision/query/request_run.h"

#include <algorithm>
#include <utility>

#include "wasabihook/config.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

RequestRun::RequestRun(EngineContext* context, RunInput input)
    : m_context(context), m_input(std::move(input)) {}

void RequestRun::OnAdmission(AdmissionResult result,
                             TimePoint now,
                             Actions& actions) {
  switch (result) {
    case AdmissionResult::kAdmitted:
      m_admitted_at = now;
      if (now >= m_input.deadline) {
        OnWake(now, actions);
      } else {
        Start(now, actions);
      }
      return;
    case AdmissionResult::kQueueFull:
      FinishError(ErrorCode::kOverloaded, RunState::kNotRun,
                  "The team's queue is full.", now, actions);
      break;
    case AdmissionResult::kDeadlineTooShort:
      FinishError(ErrorCode::kDeadlineTooShort, RunState::kNotRun,
                  "The request could not finish by its deadline.", now,
                  actions);
      break;
  }
  actions.remove = true;
}

AttemptPtr RequestRun::Send(const IndexSetSnapshot& snapshot,
                            const ShardGroup& group,
                            const std::vector<ServerId>& excluded,
                            TimePoint now,
                            Actions& actions) {
  const RoutingPolicy policy{
      .choice = m_input.settings->replica_choice,
      .outlier_ejection = m_input.settings->outlier_ejection,
      .concurrency_limits = m_input.settings->admission_control};
  const auto server = m_context->deps.servers->Acquire(
      group, snapshot.server_limits, policy, excluded);
  if (!server) {
    return nullptr;
  }
  ++m_sub_requests_sent;
  actions.sends.push_back(MakeSend(snapshot, group, *server, now));
  return actions.sends.back().attempt;
}

SendAction RequestRun::MakeSend(const IndexSetSnapshot& snapshot,
                                const ShardGroup& group,
                                const ServerId& server,
                                TimePoint now) {
  const CallerRequest& caller = m_input.request;
  auto attempt = std::make_shared<Attempt>();
  attempt->id = m_context->NewSubRequestId();
  attempt->query = m_input.handle;
  attempt->kind = caller.kind;
  attempt->server = server;
  attempt->group = {caller.team, caller.index_set, group.id};
  attempt->snapshot = snapshot.id;
  attempt->group_records = group.records;
  attempt->body = {caller.team, m_input.fingerprint,
                   m_input.settings->quarantine_expiry};
  attempt->sent_at = now;
  SubRequest request{.id = attempt->id,
                     .kind = caller.kind,
                     .server = server,
                     .team = caller.team,
                     .index_set = caller.index_set,
                     .group = group.id,
                     .snapshot = snapshot.id,
                     .remaining = m_input.deadline - now,
                     .payload = caller.payload,
                     .record_key = caller.record_key,
                     .idempotency_key = caller.idempotency_key};
  return {std::move(attempt), std::move(request)};
}

RequestOutcome RequestRun::MakeOutcome(TimePoint now) const {
  RequestOutcome outcome;
  outcome.team = m_input.request.team;
  outcome.index_set = m_input.request.index_set;
  outcome.kind = m_input.request.kind;
  outcome.latency = now - m_input.submitted;
  outcome.sub_requests_sent = m_sub_requests_sent;
  outcome.sub_requests_needed = m_sub_requests_needed;
  outcome.missing_groups = m_missing_groups;
  outcome.slowest_server = m_slowest_server;
  return outcome;
}

void RequestRun::FinishAnswer(Answer answer,
                              Fraction coverage,
                              TimePoint now,
                              Actions& actions) {
  answer.request_id = m_input.request.id;
  RequestOutcome outcome = MakeOutcome(now);
  outcome.coverage = coverage;
  outcome.complete = answer.coverage.complete();
  actions.finish = FinishAction{std::move(answer), std::move(outcome)};
  m_replied = true;
}

void RequestRun::FinishError(ErrorCode code,
                             RunState run_state,
                             std::string message,
                             TimePoint now,
                             Actions& actions) {
  RequestOutcome outcome = MakeOutcome(now);
  outcome.error = code;
  actions.finish = FinishAction{ErrorAnswer{m_input.request.id, code, run_state,
                                            std::move(message), std::nullopt},
                                std::move(outcome)};
  m_replied = true;
}

SnapshotPtr RequestRun::CurrentSnapshot() const {
  const TeamSettingsPtr settings =
      m_context->deps.settings->Team(m_input.request.team);
  if (!settings) {
    return nullptr;
  }
  const auto it = settings->index_sets.find(m_input.request.index_set);
  if (it == settings->index_sets.end() || !it->second ||
      it->second->groups.empty()) {
    return nullptr;
  }
  return it->second;
}

QuarantineStatus RequestRun::CheckQuarantine() const {
  return m_context->deps.quarantine->Check(m_input.request.team,
                                           m_input.fingerprint);
}

Duration RequestRun::RetryDelay(uint32_t attempts) const {
  // Exponential back-off with full jitter: uniform between 0 and the ceiling.
  const uint32_t doublings = std::min(attempts > 0 ? attempts - 1 : 0, 10U);
  const Duration ceiling = std::min(config::kRetryMaxDelay,
                                    config::kRetryBaseDelay * (1 << doublings));
  const auto span = static_cast<uint64_t>(ceiling.count()) + 1;
  return Duration(static_cast<Duration::rep>(m_context->deps.random() % span));
}

}  // namespace wasabihook
