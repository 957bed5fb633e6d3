#include "decision/burn/burn_counters.h"

#include <gtest/gtest.h>
// rapidcheck's header needs GoogleTest's first.
#include <rapidcheck/gtest.h>

#include <memory>
#include <thread>

#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;

class OneTeamSettings : public SettingsView {
 public:
  TeamSettingsPtr Team(const TeamId& team) const override {
    return team == TeamId("clerks") ? m_settings : nullptr;
  }

 private:
  TeamSettingsPtr m_settings = std::make_shared<TeamSettings>();
};

RequestOutcome CompleteAnswer(Duration latency) {
  RequestOutcome outcome;
  outcome.team = TeamId("clerks");
  outcome.latency = latency;
  outcome.coverage = {1.0};
  outcome.complete = true;
  return outcome;
}

uint64_t TotalRequests(const std::vector<BurnBucket>& buckets) {
  uint64_t sum = 0;
  for (const BurnBucket& bucket : buckets) {
    for (const TeamBurn& team : bucket.teams) {
      sum += team.cell.requests;
    }
  }
  return sum;
}

class BurnCountersTest : public ::testing::Test {
 protected:
  testing::ManualTimerService m_timers;
  OneTeamSettings m_settings;
  BurnCounters m_counters{&m_timers, &m_settings};
};

// Guards against quantiles that are off by more than a bucket width.
RC_GTEST_PROP(LatencyHistogramTest, QuantileWithinOneBucket, ()) {
  const auto values = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000'000)));
  BurnHistogram histogram;
  for (int value : values) {
    histogram.Record(microseconds(value));
  }
  std::vector<int> sorted = values;
  std::sort(sorted.begin(), sorted.end());
  const double q = *rc::gen::element(0.5, 0.9, 0.99, 1.0);
  const auto rank =
      static_cast<size_t>(std::ceil(q * static_cast<double>(sorted.size())));
  const double exact = sorted[rank - 1];
  const auto bound =
      static_cast<double>(histogram.Quantile(Fraction{q}).count());
  RC_ASSERT(bound > exact);
  RC_ASSERT(bound <= exact * 1.125 + 1);
}

// Guards against merges that lose or duplicate counts.
RC_GTEST_PROP(LatencyHistogramTest, MergeEqualsRecordingAll, ()) {
  const auto values =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10'000'000));
  BurnHistogram all, left, right;
  for (size_t i = 0; i < values.size(); ++i) {
    all.Record(microseconds(values[i]));
    (i % 2 == 0 ? left : right).Record(microseconds(values[i]));
  }
  left.Merge(right);
  RC_ASSERT(left == all);
}

// Guards against attributing bad requests to the wrong cause.
TEST_F(BurnCountersTest, CountsBadRequestsWithTheirCauses) {
  m_counters.Record(CompleteAnswer(milliseconds(10)));
  RequestOutcome slow = CompleteAnswer(milliseconds(120));
  slow.slowest_server = ServerId("10.0.0.7:80");
  m_counters.Record(slow);
  RequestOutcome partial = CompleteAnswer(milliseconds(20));
  partial.complete = false;
  partial.missing_groups = {ShardGroupId("g3"), ShardGroupId("g4")};
  m_counters.Record(partial);
  RequestOutcome refused = CompleteAnswer(milliseconds(1));
  refused.complete = false;
  refused.error = ErrorCode::kOverloaded;
  m_counters.Record(refused);
  m_timers.Advance(minutes(1));

  const std::vector<BurnBucket> buckets = m_counters.Collect(0);
  ASSERT_EQ(buckets.size(), 1u);
  const BurnCell& cell = buckets[0].teams.at(0).cell;
  EXPECT_EQ(cell.requests, 4u);
  EXPECT_EQ(cell.latency_bad, 2u);
  EXPECT_EQ(cell.coverage_bad, 2u);
  EXPECT_EQ(cell.latency.count(), 3u);
  using O = BurnObjective;
  using K = BurnCauseKind;
  const std::map<BurnCause, uint64_t> expected = {
      {{O::kLatency, K::kStraggler, "10.0.0.7:80"}, 1},
      {{O::kLatency, K::kRefused, "overloaded"}, 1},
      {{O::kCoverage, K::kMissingGroup, "g3"}, 1},
      {{O::kCoverage, K::kMissingGroup, "g4"}, 1},
      {{O::kCoverage, K::kRefused, "overloaded"}, 1}};
  EXPECT_EQ(cell.causes, expected);
}

// Guards against malformed requests that consume a team's error budget, and
// against unbounded memory use through arbitrary team names.
TEST_F(BurnCountersTest, IgnoresCallerErrorsAndUnknownTeams) {
  RequestOutcome invalid = CompleteAnswer(milliseconds(1));
  invalid.error = ErrorCode::kInvalidRequest;
  m_counters.Record(invalid);
  RequestOutcome unknown = CompleteAnswer(milliseconds(1));
  unknown.team = TeamId("nobody");
  m_counters.Record(unknown);
  EXPECT_TRUE(m_counters.CollectAll().empty());
}

// Guards against cells whose size grows with the number of slow servers.
TEST_F(BurnCountersTest, BoundsTheNumberOfCauses) {
  for (int i = 0; i < 1000; ++i) {
    RequestOutcome slow = CompleteAnswer(milliseconds(100));
    slow.slowest_server = ServerId("server-" + std::to_string(i));
    m_counters.Record(slow);
  }
  const BurnCell cell = m_counters.CollectAll().at(0).teams.at(0).cell;
  EXPECT_LE(cell.causes.size(), config::kBurnCausesPerCell);
  uint64_t sum = 0;
  for (const auto& [cause, count] : cell.causes) {
    sum += count;
  }
  EXPECT_EQ(sum, 1000u);
}

// Guards against dropping buckets before they are acknowledged and keeping them
// afterwards.
TEST_F(BurnCountersTest, ReturnsBucketsUntilAcknowledged) {
  for (int i = 0; i < 3; ++i) {
    m_counters.Record(CompleteAnswer(milliseconds(1)));
    m_timers.Advance(minutes(1));
  }
  EXPECT_EQ(m_counters.Collect(0).size(), 3u);
  EXPECT_EQ(m_counters.Collect(0).size(), 3u);
  const std::vector<BurnBucket> rest = m_counters.Collect(2);
  ASSERT_EQ(rest.size(), 1u);
  EXPECT_EQ(rest[0].sequence, 3u);
  // A delayed older acknowledgement does not restore buckets.
  EXPECT_EQ(m_counters.Collect(1).size(), 1u);
}

// Guards against unbounded memory use while the platform is down, and against
// dropped buckets that are not reported.
TEST_F(BurnCountersTest, DropsTheOldestBucketsBeyondTheLimit) {
  for (size_t i = 0; i < config::kBurnRetainedBuckets + 5; ++i) {
    m_counters.Record(CompleteAnswer(milliseconds(1)));
    m_timers.Advance(minutes(1));
  }
  EXPECT_EQ(m_counters.Collect(0).size(), config::kBurnBucketsPerResponse);
  EXPECT_EQ(m_counters.CollectAll().size(), config::kBurnRetainedBuckets);
  EXPECT_EQ(m_counters.lost_buckets(), 5u);
}

// Guards against losing counts when the wall clock is set back.
TEST_F(BurnCountersTest, KeepsCountsWhenTheWallClockStepsBack) {
  m_counters.Record(CompleteAnswer(milliseconds(1)));
  m_timers.ShiftWallClock(-std::chrono::hours(1));
  m_counters.Record(CompleteAnswer(milliseconds(1)));
  EXPECT_EQ(TotalRequests(m_counters.Collect(0)), 1u);
  m_timers.Advance(minutes(1));
  EXPECT_EQ(TotalRequests(m_counters.Collect(0)), 2u);
}

// Guards against lost updates between recording threads and collection.
TEST_F(BurnCountersTest, CountsEveryRequestOfConcurrentThreads) {
  constexpr int kThreads = 4;
  constexpr int kRequests = 2000;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([this] {
      for (int i = 0; i < kRequests; ++i) {
        m_counters.Record(CompleteAnswer(microseconds(i)));
      }
    });
  }
  for (int i = 0; i < 20; ++i) {
    m_timers.Advance(minutes(1));
    m_counters.Collect(0);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(TotalRequests(m_counters.CollectAll()),
            uint64_t{kThreads} * kRequests);
}

}  // namespace
}  // namespace wasabihook
