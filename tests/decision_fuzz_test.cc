// Runs random command sequences against the whole decision layer with a manual
// timer. DecisionTestHarness checks the results.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

#include "decision_commands.h"
#include "decision_test_harness.h"

namespace wasabihook::testing {

DecisionTestHarness::DecisionTestHarness(uint64_t seed, TeamSettings team)
    : m_settings(std::move(team)),
      m_servers(ServerTable::Create(&m_timers, MakeRandomSource(seed + 1))),
      m_admission(AdmissionController::Create(&m_timers)),
      m_backends(&m_timers, &m_transport, MakeRandomSource(seed)) {
  m_settings.team = m_team;
  m_settings.max_deadline = milliseconds(1000);
  const SnapshotPtr first = MakeSnapshotVersion(m_team, m_index_set, 1);
  m_snapshots[first->id] = first;
  m_backends.ServeFrom(1, first);
  PublishSettings();
  m_tier = QueryTier::Create(
      {.timers = &m_timers,
       .transport = &m_transport,
       .settings = &m_view,
       .servers = m_servers.get(),
       .hedging = m_hedging.get(),
       .retry_budget = m_budget.get(),
       .admission = m_admission.get(),
       .claims = &m_claims,
       .quarantine = &m_quarantine,
       .random = MakeRandomSource(seed + 2),
       .id_prefix = "fuzz",
       .on_outcome = [this](const RequestOutcome&) { ++m_outcomes; }});
}

void DecisionTestHarness::PublishSettings() {
  m_settings.revision = Revision(m_settings_version);
  m_settings.index_sets[m_index_set] =
      MakeSnapshotVersion(m_team, m_index_set, m_settings_version);
  m_view.Put(m_settings);
}

CallerRequest DecisionTestHarness::Make(RequestKind kind, std::string payload) {
  CallerRequest request;
  request.kind = kind;
  request.id = RequestId("r" + std::to_string(m_callers.size()));
  request.team = m_team;
  request.index_set = m_index_set;
  request.payload = std::move(payload);
  request.record_key = request.id.value();
  return request;
}

void DecisionTestHarness::Search(std::string payload,
                                 std::optional<Duration> timeout) {
  CallerRequest request = Make(RequestKind::kSearch, std::move(payload));
  request.timeout = timeout;
  Submit(std::move(request));
}

void DecisionTestHarness::Fetch(std::optional<Duration> timeout) {
  CallerRequest request = Make(RequestKind::kFetch, "");
  request.timeout = timeout;
  Submit(std::move(request));
}

void DecisionTestHarness::Operation(std::optional<Duration> timeout) {
  CallerRequest request = Make(RequestKind::kOperation, "reserve");
  request.idempotency_key = IdempotencyKey("k" + request.id.value());
  request.issued_at = m_timers.WallNow();
  request.timeout = timeout;
  m_operations.push_back(m_callers.size());
  Submit(std::move(request));
}

void DecisionTestHarness::Resend(size_t which, bool other_body) {
  if (m_operations.empty()) {
    return;
  }
  CallerRequest request =
      m_callers[m_operations[which % m_operations.size()]].request;
  request.id = RequestId("r" + std::to_string(m_callers.size()));
  if (other_body) {
    request.payload = "another body";
  }
  Submit(std::move(request));
}

void DecisionTestHarness::Submit(CallerRequest request) {
  Caller& caller = m_callers.emplace_back();
  caller.request = request;
  caller.after_drain = m_draining;
  caller.deadline = m_timers.Now() +
                    std::min(request.timeout.value_or(m_settings.max_deadline),
                             m_settings.max_deadline);
  caller.handle = m_tier->Submit(
      std::move(request),
      [this, &caller](Reply reply) { OnReply(caller, std::move(reply)); });
  Expect(!caller.reply, "no reply from within Submit()");
}

void DecisionTestHarness::Cancel(size_t which) {
  if (m_callers.empty()) {
    return;
  }
  Caller& caller = m_callers[which % m_callers.size()];
  if (!caller.reply) {
    caller.cancelled = true;
    m_tier->Cancel(caller.handle);
  }
}

void DecisionTestHarness::Crash(size_t which) {
  const auto& groups = m_settings.index_sets[m_index_set]->groups;
  const ShardGroup& group = groups[which % groups.size()];
  m_backends.Crash(group.servers[which / 7 % group.servers.size()].id);
}

void DecisionTestHarness::DropOldVersions() {
  m_backends.ServeFrom(
      m_backend_version,
      MakeSnapshotVersion(m_team, m_index_set, m_backend_version));
}

void DecisionTestHarness::NewBackendVersion() {
  ++m_backend_version;
  const SnapshotPtr snapshot =
      MakeSnapshotVersion(m_team, m_index_set, m_backend_version);
  m_snapshots[snapshot->id] = snapshot;
  m_backends.ServeFrom(m_backend_version - 1, snapshot);
}

void DecisionTestHarness::NewSettingsVersion() {
  m_settings_version = m_backend_version;
  PublishSettings();
}

void DecisionTestHarness::Drain() {
  if (!m_draining) {
    m_draining = true;
    m_tier->Drain([this] {
      ++m_drained;
      for (const Caller& caller : m_callers) {
        Expect(caller.reply || caller.cancelled || caller.after_drain,
               "a drain ends after every request was answered");
      }
    });
  }
}

void DecisionTestHarness::Expect(bool holds, const std::string& rule) {
  if (!holds) {
    m_violations.push_back(rule);
  }
}

void DecisionTestHarness::OnReply(Caller& caller, Reply reply) {
  ++m_replies;
  Expect(!caller.reply, "one reply per request");
  Expect(!caller.cancelled, "no reply to a cancelled request");
  Expect(m_timers.Now() <= caller.deadline, "reply by the deadline");
  if (const auto* answer = std::get_if<Answer>(&reply)) {
    Expect(answer->request_id == caller.request.id, "reply to its own caller");
    Expect(!caller.after_drain, "a drain refuses later requests");
    CheckAnswer(caller, *answer);
  } else {
    const auto& error = std::get<ErrorAnswer>(reply);
    Expect(error.request_id == caller.request.id, "reply to its own caller");
    Expect(caller.after_drain == (error.code == ErrorCode::kShuttingDown),
           "a drain refuses later requests and no others");
    CheckError(caller, error);
  }
  caller.reply = std::move(reply);
}

void DecisionTestHarness::CheckAnswer(const Caller& caller,
                                      const Answer& answer) {
  const CallerRequest& request = caller.request;
  if (request.kind == RequestKind::kOperation) {
    const std::string key = request.record_key + "|" + request.payload + "|";
    Expect(answer.rows.size() == 1 && answer.rows[0].starts_with(key),
           "an operation gets its own result");
    Expect(m_backends.RunCount(request.idempotency_key) == 1,
           "an answered operation ran exactly once");
    return;
  }
  const auto it = m_snapshots.find(answer.snapshot);
  Expect(it != m_snapshots.end(), "the answer names a snapshot");
  if (it != m_snapshots.end()) {
    CheckQueryAnswer(caller, answer, *it->second);
  }
}

void DecisionTestHarness::CheckQueryAnswer(const Caller& caller,
                                           const Answer& answer,
                                           const IndexSetSnapshot& snapshot) {
  const CallerRequest& request = caller.request;
  std::vector<std::string> rows;
  Coverage expected;
  const std::set<ShardGroupId> missing(answer.coverage.missing_groups.begin(),
                                       answer.coverage.missing_groups.end());
  for (size_t g = 0; g < snapshot.groups.size(); ++g) {
    const ShardGroup& group = snapshot.groups[g];
    if (request.kind == RequestKind::kFetch &&
        snapshot.GroupIndexFor(request.record_key) != g) {
      continue;
    }
    ++expected.groups_asked;
    expected.records_asked += group.records;
    if (!missing.contains(group.id)) {
      ++expected.groups_covered;
      expected.records_covered += group.records;
      SubRequest sub;
      sub.record_key = request.record_key;
      sub.payload = request.payload;
      sub.group = group.id;
      sub.snapshot = snapshot.id;
      rows.push_back(FaultInjectingBackends::MakeRow(sub));
    }
  }
  Expect(
      answer.rows == rows,
      "rows of exactly the covered groups, of one snapshot, for this caller");
  const Coverage& stated = answer.coverage;
  Expect(stated.groups_asked == expected.groups_asked &&
             stated.groups_covered == expected.groups_covered &&
             stated.records_asked == expected.records_asked &&
             stated.records_covered == expected.records_covered &&
             missing.size() == stated.groups_asked - stated.groups_covered,
         "coverage is exact");
  Expect(static_cast<double>(stated.records_covered) >=
             m_settings.least_coverage.value *
                 static_cast<double>(stated.records_asked),
         "an answer has the least coverage");
}

void DecisionTestHarness::CheckError(const Caller& caller,
                                     const ErrorAnswer& error) {
  if (caller.request.kind == RequestKind::kOperation) {
    return;
  }
  const bool ran = m_backends.Ran(caller.request.record_key);
  Expect(error.run_state != RunState::kRan || ran,
         "ran only if a server ran it");
}

void DecisionTestHarness::Finish() {
  m_timers.Advance(std::chrono::seconds(10));
  for (const Caller& caller : m_callers) {
    CheckCallerAtEnd(caller);
  }
  CheckOperationsAtEnd();
  Expect(m_tier->in_flight() == 0, "nothing stays in flight");
  Expect(m_outcomes == m_replies, "one outcome per reply");
  Expect(m_drained == (m_draining ? 1 : 0), "drain ends once");
  for (const ServerStatus& server : m_servers->Status()) {
    Expect(server.outstanding == 0, "every server is released");
  }
  const std::vector<SubRequestId> cancelled = m_transport.Cancelled();
  const std::set<SubRequestId> cut(cancelled.begin(), cancelled.end());
  for (const SubRequest& sub : m_transport.Sent()) {
    Expect(sub.kind != RequestKind::kOperation || !cut.contains(sub.id),
           "a dispatched operation is never cancelled");
  }
}

void DecisionTestHarness::CheckCallerAtEnd(const Caller& caller) {
  Expect(caller.reply || caller.cancelled, "every request gets its reply");
  if (!caller.reply || caller.request.kind == RequestKind::kOperation) {
    return;
  }
  // Checked at the end, so that a sub-request that runs after the reply counts.
  const auto* error = std::get_if<ErrorAnswer>(&*caller.reply);
  Expect(!error || error->run_state != RunState::kNotRun ||
             !m_backends.Ran(caller.request.record_key),
         "not_run only if no server ran it");
}

void DecisionTestHarness::CheckOperationsAtEnd() {
  Expect(m_claims.ClaimsWithoutOutcome() == 0,
         "every granted claim gets an outcome");
  struct Seen {
    bool may_have_run = false;
    bool answered = false;
  };
  std::map<IdempotencyKey, Seen> seen;
  for (const Caller& caller : m_callers) {
    if (caller.request.kind != RequestKind::kOperation) {
      continue;
    }
    Seen& key = seen[caller.request.idempotency_key];
    const auto* error =
        caller.reply ? std::get_if<ErrorAnswer>(&*caller.reply) : nullptr;
    key.answered = key.answered || (caller.reply && !error);
    key.may_have_run =
        key.may_have_run || !error || error->run_state != RunState::kNotRun;
  }
  for (const auto& [key, replies] : seen) {
    const int runs = m_backends.RunCount(key);
    Expect(runs <= 1, "an operation runs at most once");
    Expect(!replies.answered || runs == 1, "an answered operation ran");
    Expect(replies.may_have_run || runs == 0,
           "an operation reported as not_run did not run");
  }
}

namespace {

// Guards against violated guarantees under any faults of servers, replies,
// versions and the claim store: one snapshot per answer, exact coverage, only
// the caller's own rows, not_run only if nothing ran, operations run at most
// once, one reply by the deadline, and a drain that aborts no request.
RC_GTEST_PROP(DecisionFuzzTest,
              MaintainsGuarantees,
              (uint64_t seed, uint8_t bits)) {
  // Uses the full size from the first case on, because short sequences reach
  // only few interleavings.
  const auto commands = *rc::gen::resize(
      400, rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
               rc::gen::inRange(0, static_cast<int>(Command::kCount)),
               rc::gen::inRange(0, 65536))));
  DecisionTestHarness harness(seed, DrawSettings(bits));
  for (const auto& [kind, argument] : commands) {
    Apply(harness, static_cast<Command>(kind), static_cast<uint16_t>(argument));
    RC_ASSERT(harness.violations() == std::vector<std::string>());
  }
  harness.Finish();
  RC_ASSERT(harness.violations() == std::vector<std::string>());
}

}  // namespace
}  // namespace wasabihook::testing
