#ifndef TESTS_QUERY_TIER_FIXTURE_H_
#define TESTS_QUERY_TIER_FIXTURE_H_

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "testing/fake_backend_transport.h"
#include "testing/fake_claim_store.h"
#include "testing/fake_quarantine.h"
#include "testing/fake_routing.h"
#include "testing/fake_settings.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/query_tier.h"

namespace wasabihook::testing {

using std::chrono::milliseconds;

inline const TeamId kTeam{"clerks"};
inline const IndexSetId kIndexSet{"counter-desk"};
inline constexpr uint64_t kRecordsPerGroup = 10;

// Snapshot with groups g0, g1, ..., each with servers "g0a", "g0b", ... and
// kRecordsPerGroup records.
inline SnapshotPtr MakeSnapshot(uint64_t version,
                                size_t groups,
                                size_t servers = 2) {
  auto snapshot = std::make_shared<IndexSetSnapshot>();
  snapshot->team = kTeam;
  snapshot->index_set = kIndexSet;
  snapshot->id = {IndexVersion(version), MapVersion(1)};
  snapshot->settings_revision = Revision(version);
  for (size_t g = 0; g < groups; ++g) {
    ShardGroup group;
    group.id = ShardGroupId("g" + std::to_string(g));
    group.records = kRecordsPerGroup;
    for (size_t s = 0; s < servers; ++s) {
      group.servers.push_back(
          {ServerId(group.id.value() + static_cast<char>('a' + s)),
           DataCentreId("addis-bole")});
    }
    snapshot->groups.push_back(std::move(group));
  }
  return snapshot;
}

// Query tier over fakes, with a hedge delay of 50 ms and ten retry tokens.
class QueryTierFixture : public ::testing::Test {
 protected:
  QueryTierFixture() {
    settings.team = kTeam;
    settings.default_deadline = milliseconds(1000);
    settings.soft_deadline = milliseconds(200);
    settings.least_coverage = Fraction{0.5};
    PublishSnapshot(MakeSnapshot(1, 3));
    budget.SetTokens(10);
    tier =
        QueryTier::Create({.timers = &timers,
                           .transport = &transport,
                           .settings = &view,
                           .servers = &servers,
                           .hedging = &hedging,
                           .retry_budget = &budget,
                           .admission = &admission,
                           .claims = &claims,
                           .quarantine = &quarantine,
                           .random = MakeRandomSource(7),
                           .id_prefix = "i1",
                           .on_outcome = [this](const RequestOutcome& outcome) {
                             outcomes.push_back(outcome);
                           }});
  }

  void PublishSnapshot(SnapshotPtr snapshot) {
    settings.index_sets[kIndexSet] = std::move(snapshot);
    view.Put(settings);
  }

  CallerRequest Search(std::string payload = "lens") {
    CallerRequest request;
    request.kind = RequestKind::kSearch;
    request.id = RequestId("r" + std::to_string(next_request++));
    request.team = kTeam;
    request.index_set = kIndexSet;
    request.payload = std::move(payload);
    return request;
  }

  CallerRequest Operation(std::string key, std::string payload = "reserve") {
    CallerRequest request = Search(std::move(payload));
    request.kind = RequestKind::kOperation;
    request.record_key = "record-1";
    request.idempotency_key = IdempotencyKey(std::move(key));
    request.issued_at = timers.WallNow();
    return request;
  }

  // Returns the index of the reply in `replies`, which is empty until the reply
  // arrives.
  size_t Submit(CallerRequest request) {
    const size_t index = replies.size();
    replies.emplace_back();
    handles.push_back(tier->Submit(std::move(request), [this, index](Reply r) {
      EXPECT_FALSE(replies[index].has_value()) << "second reply";
      replies[index] = std::move(r);
    }));
    return index;
  }

  void AnswerGroup(const std::string& group) {
    for (const SubRequest& sub : transport.Outstanding()) {
      if (sub.group.value() == group) {
        transport.Answer(sub.id, kRecordsPerGroup, {"row-" + group});
        return;
      }
    }
    FAIL() << "nothing outstanding for " << group;
  }

  void AnswerAll() {
    for (const SubRequest& sub : transport.Outstanding()) {
      transport.Answer(sub.id, kRecordsPerGroup, {"row-" + sub.group.value()});
    }
  }

  const Answer& AnswerOf(size_t index) {
    static const Answer kNone;
    const Answer* answer =
        replies[index] ? std::get_if<Answer>(&*replies[index]) : nullptr;
    EXPECT_NE(answer, nullptr);
    return answer ? *answer : kNone;
  }

  const ErrorAnswer& ErrorOf(size_t index) {
    static const ErrorAnswer kNone;
    const ErrorAnswer* error =
        replies[index] ? std::get_if<ErrorAnswer>(&*replies[index]) : nullptr;
    EXPECT_NE(error, nullptr);
    return error ? *error : kNone;
  }

  void ExpectError(size_t index, ErrorCode code, RunState state) {
    EXPECT_EQ(ToString(ErrorOf(index).code), ToString(code));
    EXPECT_EQ(ToString(ErrorOf(index).run_state), ToString(state));
  }

  ManualTimerService timers;
  FakeBackendTransport transport{&timers};
  FakeSettings view;
  FakeServerTable servers;
  FakeHedgePolicy hedging{milliseconds(50)};
  FakeRetryBudget budget;
  FakeAdmissionController admission;
  FakeClaimStore claims{&timers};
  FakeQuarantine quarantine;
  TeamSettings settings;
  std::vector<RequestOutcome> outcomes;
  std::vector<std::optional<Reply>> replies;
  std::vector<QueryHandle> handles;
  int next_request = 1;
  std::unique_ptr<QueryTier> tier;
};

}  // namespace wasabihook::testing

#endif  // TESTS_QUERY_TIER_FIXTURE_H_
