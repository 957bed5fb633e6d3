#ifndef TESTS_DECISION_TEST_HARNESS_H_
#define TESTS_DECISION_TEST_HARNESS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "fault_injecting_backends.h"
#include "testing/fake_claim_store.h"
#include "testing/fake_quarantine.h"
#include "testing/fake_settings.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/server_table.h"

namespace wasabihook::testing {

// Runs the whole decision layer against fault-injecting servers, and checks
// every reply against what the servers ran.
class DecisionTestHarness {
 public:
  DecisionTestHarness(uint64_t seed, TeamSettings team);

  void Search(std::string payload, std::optional<Duration> timeout);
  void Fetch(std::optional<Duration> timeout);
  void Operation(std::optional<Duration> timeout);
  // Sends an earlier operation again, with a different body if `other_body`.
  void Resend(size_t which, bool other_body);
  void Cancel(size_t which);
  void Crash(size_t which);
  // Servers stop serving all versions but their newest.
  void DropOldVersions();
  // Servers serve a new version in addition to the one before it.
  void NewBackendVersion();
  // The settings publish the newest version of the servers.
  void NewSettingsVersion();
  void Drain();

  ManualTimerService& timers() { return m_timers; }
  FakeClaimStore& claims() { return m_claims; }
  FaultInjectingBackends& backends() { return m_backends; }

  // Advances time until all requests have ended, then checks the final state.
  void Finish();
  // Rules violated so far.
  const std::vector<std::string>& violations() const { return m_violations; }

 private:
  struct Caller {
    CallerRequest request;
    QueryHandle handle;
    TimePoint deadline;
    std::optional<Reply> reply;
    bool cancelled = false;
    bool after_drain = false;
  };

  CallerRequest Make(RequestKind kind, std::string payload);
  void Submit(CallerRequest request);
  void OnReply(Caller& caller, Reply reply);
  void CheckAnswer(const Caller& caller, const Answer& answer);
  void CheckQueryAnswer(const Caller& caller,
                        const Answer& answer,
                        const IndexSetSnapshot& snapshot);
  void CheckError(const Caller& caller, const ErrorAnswer& error);
  void CheckCallerAtEnd(const Caller& caller);
  void CheckOperationsAtEnd();
  void Expect(bool holds, const std::string& rule);
  void PublishSettings();

  const TeamId m_team{"clerks"};
  const IndexSetId m_index_set{"counter-desk"};
  ManualTimerService m_timers;
  // Grace time of the transport, so that time-outs and the latest replies
  // arrive after the caller's deadline.
  FakeBackendTransport m_transport{&m_timers, milliseconds(300)};
  FakeSettings m_view;
  FakeClaimStore m_claims{&m_timers};
  FakeQuarantine m_quarantine;
  TeamSettings m_settings;
  std::map<SnapshotId, SnapshotPtr> m_snapshots;
  uint64_t m_backend_version = 1;
  uint64_t m_settings_version = 1;
  std::unique_ptr<ServerTable> m_servers;
  std::unique_ptr<HedgePolicy> m_hedging = HedgePolicy::Create();
  std::unique_ptr<RetryBudget> m_budget = RetryBudget::Create();
  std::unique_ptr<AdmissionController> m_admission;
  FaultInjectingBackends m_backends;
  std::deque<Caller> m_callers;
  std::vector<size_t> m_operations;
  size_t m_outcomes = 0;
  size_t m_replies = 0;
  bool m_draining = false;
  int m_drained = 0;
  std::vector<std::string> m_violations;
  std::unique_ptr<QueryTier> m_tier;
};

}  // namespace wasabihook::testing

#endif  // TESTS_DECISION_TEST_HARNESS_H_
