// Tests of the gateway's decisions that need no network.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include "gateway/answer_policy.h"
#include "gateway/hedge_delay.h"
#include "gateway/replica_cost.h"
#include "gateway/route_table.h"
#include "gateway/server_health.h"
#include "gateway/service_retry_budget.h"
#include "gateway/top_records.h"
#include "gateway/weighted_choice.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

// --- Answer policy ---

AnswerInput Input(uint32_t answered, uint32_t failed) {
  return {.total = 20,
          .required = 18,
          .answered = answered,
          .failed = failed,
          .objective_passed = false,
          .deadline_passed = false};
}

// Guards against answers that leave out parts which could still arrive in time.
TEST(AnswerPolicy, WaitsForAllPartsBeforeTheObjective) {
  EXPECT_EQ(DecideAnswer(Input(19, 0)), AnswerDecision::kWait);
  EXPECT_EQ(DecideAnswer(Input(20, 0)), AnswerDecision::kAnswer);
}

// Guards against an answer that misses the objective because of one slow shard.
TEST(AnswerPolicy, AnswersWithTheMinimumShareAtTheObjective) {
  AnswerInput input = Input(18, 0);
  input.objective_passed = true;
  EXPECT_EQ(DecideAnswer(input), AnswerDecision::kAnswer);
  input.answered = 17;
  EXPECT_EQ(DecideAnswer(input), AnswerDecision::kWait);
}

// Guards against callers that wait for a request that can no longer succeed.
TEST(AnswerPolicy, FailsAsSoonAsTheMinimumShareIsOutOfReach) {
  EXPECT_EQ(DecideAnswer(Input(0, 3)), AnswerDecision::kFail);
  EXPECT_EQ(DecideAnswer(Input(18, 2)), AnswerDecision::kAnswer);
}

RC_GTEST_PROP(AnswerPolicy, NeverAnswersBelowTheMinimumShare, ()) {
  const auto total = *rc::gen::inRange<uint32_t>(1, 200);
  const auto required = *rc::gen::inRange<uint32_t>(1, total + 1);
  const auto answered = *rc::gen::inRange<uint32_t>(0, total + 1);
  const auto failed = *rc::gen::inRange<uint32_t>(0, total - answered + 1);
  const AnswerInput input{.total = total,
                          .required = required,
                          .answered = answered,
                          .failed = failed,
                          .objective_passed = *rc::gen::arbitrary<bool>(),
                          .deadline_passed = *rc::gen::arbitrary<bool>()};
  const AnswerDecision decision = DecideAnswer(input);
  if (decision == AnswerDecision::kAnswer)
    RC_ASSERT(answered >= required);
  // Every request ends at its deadline, or when no part is pending.
  if (input.deadline_passed || answered + failed == total)
    RC_ASSERT(decision != AnswerDecision::kWait);
}

TEST(RequiredParts, RoundsUpWithoutFloatingPointError) {
  EXPECT_EQ(RequiredParts(Fraction{0.9}, 20), 18U);
  EXPECT_EQ(RequiredParts(Fraction{0.89}, 20), 18U);
  EXPECT_EQ(RequiredParts(Fraction{0.95}, 90), 86U);
  EXPECT_EQ(RequiredParts(Fraction{0.0}, 90), 1U);
  EXPECT_EQ(RequiredParts(Fraction{1.0}, 90), 90U);
}

// --- Merge ---

// Guards against a merge whose result differs from sorting all records.
RC_GTEST_PROP(TopRecords, EqualsSortedRecords, ()) {
  const auto parts = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab"))));
  const auto count = *rc::gen::inRange<size_t>(0, 12);
  std::vector<std::string> records;
  for (const std::string& part : parts) {
    for (size_t i = 0; i + kRecordBytes <= part.size(); i += kRecordBytes)
      records.push_back(part.substr(i, kRecordBytes));
  }
  std::sort(records.rbegin(), records.rend());
  records.resize(std::min(count, records.size()));
  std::string expected;
  for (const std::string& record : records)
    expected += record;
  RC_ASSERT(MergeTopRecords(parts, count) == expected);
}

TEST(TopRecords, ComparesBytesAsUnsignedAndKeepsEqualOnes) {
  const std::string low(kRecordBytes, '\x7f');
  const std::string high(kRecordBytes, '\xff');
  EXPECT_EQ(MergeTopRecords({low + "rest", high + high}, 3), high + high + low);
}

// --- Retry budget ---

ServiceBounds Bounds(double slack) {
  ServiceBounds out;
  out.retry_ratio = 0.2;
  out.retry_slack = slack;
  out.retry_window = seconds(10);
  return out;
}

// Guards against repeats of all instances that together exceed the bound of a
// service in some window, under varying load.
RC_GTEST_PROP(ServiceRetryBudget, StaysWithinTheBoundInEveryWindow, ()) {
  constexpr uint32_t kInstances = 4;
  const double slack = *rc::gen::inRange(10, 200);
  ServiceRetryBudget budget;
  budget.Configure(Bounds(slack), kInstances);
  struct Event {
    Duration at;
    bool first;
  };
  std::vector<Event> events;
  Duration now{0};
  const auto steps =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 400));
  for (const int step : steps) {
    now += milliseconds(step);
    if (step % 3 == 0) {
      budget.OnFirstAttempt(At(now));
      events.push_back({now, true});
    } else if (budget.TrySpend(At(now))) {
      events.push_back({now, false});
    }
  }
  for (const Event& start : events) {
    double firsts = 0;
    double repeats = 0;
    for (const Event& event : events) {
      if (event.at < start.at || event.at - start.at >= seconds(10))
        continue;
      (event.first ? firsts : repeats) += 1;
    }
    // First attempts of the preceding window count as well, since a repeat may
    // be earned by first attempts before `start`.
    double before = 0;
    for (const Event& event : events) {
      if (event.first && event.at < start.at &&
          start.at - event.at <= seconds(10))
        before += 1;
    }
    RC_ASSERT(repeats <= slack / kInstances + 0.2 * (firsts + before));
  }
}

// Guards against a budget that grants the slack only once. At sites with many
// instances, no hedges were left after the first query.
TEST(ServiceRetryBudget, SlackIsAvailableAgainInTheNextWindow) {
  ServiceRetryBudget budget;
  budget.Configure(Bounds(40), 10);
  int spent = 0;
  while (budget.TrySpend(At(seconds(0))))
    ++spent;
  EXPECT_EQ(spent, 3);  // 40 x 0.85 / 10
  EXPECT_FALSE(budget.TrySpend(At(seconds(9))));
  EXPECT_TRUE(budget.TrySpend(At(seconds(12))));
}

TEST(ServiceRetryBudget, RefundedRepeatCanBeSpentAgain) {
  ServiceRetryBudget budget;
  budget.Configure(Bounds(13), 10);
  ASSERT_TRUE(budget.TrySpend(At(seconds(0))));
  ASSERT_FALSE(budget.TrySpend(At(seconds(0))));
  budget.Refund();
  EXPECT_TRUE(budget.TrySpend(At(seconds(0))));
}

// --- Replica choice ---

// Guards against queues at a slow server. Requests go to a server in another
// data centre if the local one would take more than twice as long.
TEST(ReplicaCost, NormalRemoteServerIsPreferredToSlowLocalOne) {
  ReplicaView local;
  ReplicaView remote;
  remote.remote = true;
  EXPECT_LT(ReplicaCost(local), ReplicaCost(remote));
  local.relative_latency = 4;
  EXPECT_GT(ReplicaCost(local), ReplicaCost(remote));
}

TEST(ReplicaCost, StalledOrFailingServerIsLastChoice) {
  ReplicaView loaded;
  loaded.outstanding = 6;
  loaded.slots = 2;
  loaded.relative_latency = 3;
  loaded.remote = true;
  ReplicaView stalled;
  stalled.stalled = true;
  ReplicaView failing;
  failing.failure_share = 1;
  EXPECT_LT(ReplicaCost(loaded), ReplicaCost(stalled));
  EXPECT_LT(ReplicaCost(ReplicaView{.outstanding = 2, .slots = 2}),
            ReplicaCost(failing));
}

// --- Server health ---

// Guards against new requests to a server that has paused. It counts as stalled
// after four times the median latency, before a hedge would be sent.
TEST(ServerHealth, OverdueReplyMeansAStall) {
  const Duration median_latency = milliseconds(5);
  EXPECT_FALSE(ServerHealth::IsStalled(At(milliseconds(0)), TimePoint(),
                                       median_latency, At(milliseconds(15))));
  EXPECT_TRUE(ServerHealth::IsStalled(At(milliseconds(0)), TimePoint(),
                                      median_latency, At(milliseconds(25))));
  // A reply in between shows that the server works.
  EXPECT_FALSE(ServerHealth::IsStalled(At(milliseconds(0)),
                                       At(milliseconds(20)), median_latency,
                                       At(milliseconds(25))));
}

TEST(ServerHealth, UnreachableServerIsProbedWithIncreasingBackoff) {
  ServerHealth health;
  health.OnUnreachable(At(seconds(0)), 0);
  EXPECT_TRUE(health.down());
  EXPECT_FALSE(health.ProbeDue(At(milliseconds(200))));
  EXPECT_TRUE(health.ProbeDue(At(milliseconds(300))));
  health.OnUnreachable(At(milliseconds(300)), 0);
  EXPECT_FALSE(health.ProbeDue(At(milliseconds(700))));
  health.OnConnected(At(seconds(1)));
  EXPECT_FALSE(health.down());
}

// Guards against a shard whose two servers both count as down after one broken
// connection each.
TEST(ServerHealth, BrokenConnectionDoesNotMarkAServerDown) {
  ServerHealth health;
  health.OnBrokenConnection(TimePoint());
  EXPECT_FALSE(health.down());
  EXPECT_GT(health.FailureShare(TimePoint()), 0);
}

// Guards against a server that is avoided for ever after two spoilt replies,
// since it then gets no request that could show that it works.
TEST(ServerHealth, FailuresFadeWhileThereIsNoReply) {
  const TimePoint start{seconds(100)};
  ServerHealth health;
  health.OnBrokenConnection(start);
  health.OnBrokenConnection(start);
  const auto cost = [&health](TimePoint now) {
    return ReplicaCost({.relative_latency = health.relative_latency(),
                        .failure_share = health.FailureShare(now)});
  };
  const double sound = ReplicaCost({.relative_latency = 1});
  EXPECT_GT(cost(start), 2 * sound);
  EXPECT_LT(cost(start + seconds(20)), 1.1 * sound);
  // Failures that go on are not forgotten.
  for (int i = 0; i < 20; ++i)
    health.OnBrokenConnection(start + milliseconds(100) * i);
  EXPECT_GT(cost(start + seconds(2)), 10 * sound);
}

// --- Hedge delay ---

TEST(HedgeDelay, FollowsTheLatencyQuantileOfTheRoute) {
  HedgeDelay delay;
  const Duration objective = milliseconds(80);
  EXPECT_EQ(delay.DelayFor(objective), milliseconds(28));
  for (int i = 0; i < 200; ++i)
    delay.Observe(milliseconds(i % 10 == 0 ? 9 : 5));
  EXPECT_GE(delay.DelayFor(objective), milliseconds(5));
  EXPECT_LE(delay.DelayFor(objective), milliseconds(16));
  EXPECT_GT(delay.median_latency(), milliseconds(4));
}

// --- Traffic splits ---

// Guards against a share of requests that deviates from its weight.
RC_GTEST_PROP(WeightedChoice, KeepsSharesInEveryPrefix, ()) {
  const auto weights = *rc::gen::container<std::vector<double>>(
      3, rc::gen::map(rc::gen::inRange(1, 20),
                      [](int weight) { return static_cast<double>(weight); }));
  WeightedChoice choice(weights);
  const double total = weights[0] + weights[1] + weights[2];
  std::vector<int> counts(3);
  for (int i = 1; i <= 300; ++i) {
    ++counts[choice.Next()];
    for (size_t k = 0; k < 3; ++k)
      RC_ASSERT(std::abs(counts[k] - i * weights[k] / total) < 3);
  }
}

}  // namespace
}  // namespace wasabihook::gateway
