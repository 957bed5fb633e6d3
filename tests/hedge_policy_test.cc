#include "decision/routing/hedge_policy.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "decision/routing/latency_histogram.h"
#include "wasabihook/config.h"
#include "wasabihook/random_source.h"

namespace wasabihook {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

ShardGroupKey Key(const std::string& group) {
  return {TeamId("clerks"), IndexSetId("lab-ledger"), ShardGroupId(group)};
}

void ObserveUniform(HedgePolicy* policy,
                    const ShardGroupKey& key,
                    int count,
                    int from_us,
                    int to_us) {
  RandomSource random = MakeRandomSource(7);
  for (int i = 0; i < count; ++i) {
    policy->Observe(
        key,
        microseconds(from_us + static_cast<int>(random() % (to_us - from_us))));
  }
}

// Guards against hedge delays computed from too few replies.
TEST(HedgePolicyTest, UnknownGroupUsesInitialDelay) {
  auto policy = HedgePolicy::Create();
  EXPECT_EQ(policy->DelayFor(Key("0"), false), config::kInitialHedgeDelay);
  policy->Observe(Key("0"), milliseconds(1));
  EXPECT_EQ(policy->DelayFor(Key("0"), false), config::kInitialHedgeDelay);
}

// Guards against a delay that is not the quantile of the group's own latencies.
TEST(HedgePolicyTest, LearnsQuantileForEachGroup) {
  auto policy = HedgePolicy::Create();
  ObserveUniform(policy.get(), Key("0"), 1000, 1000, 21000);
  ObserveUniform(policy.get(), Key("1"), 1000, 5000, 105000);
  const Duration first = policy->DelayFor(Key("0"), false);
  EXPECT_GE(first, milliseconds(18));
  EXPECT_LE(first, milliseconds(24));
  const Duration second = policy->DelayFor(Key("1"), false);
  EXPECT_GE(second, milliseconds(90));
  EXPECT_LE(second, milliseconds(125));
}

// Guards against hedges for replies that are about to arrive, which waste the
// budget, and against delays below the minimum.
TEST(HedgePolicyTest, LowVarianceGroupWaitsBeyondMedian) {
  auto policy = HedgePolicy::Create();
  ObserveUniform(policy.get(), Key("0"), 1000, 10000, 10100);
  EXPECT_GE(policy->DelayFor(Key("0"), false), milliseconds(14));
  ObserveUniform(policy.get(), Key("1"), 1000, 100, 110);
  EXPECT_EQ(policy->DelayFor(Key("1"), false), config::kMinHedgeDelay);
}

// Guards against hedges that add load while the whole group is overloaded.
TEST(HedgePolicyTest, NoHedgesWhenWholeGroupIsOverloaded) {
  auto policy = HedgePolicy::Create();
  ObserveUniform(policy.get(), Key("0"), 1000, 8000, 12000);
  EXPECT_EQ(policy->DelayFor(Key("0"), true), Duration::max());
  ObserveUniform(policy.get(), Key("0"), 400, 60000, 90000);
  EXPECT_EQ(policy->DelayFor(Key("0"), false), Duration::max());
  // Hedging resumes once most replies are fast again.
  ObserveUniform(policy.get(), Key("0"), 1000, 8000, 12000);
  EXPECT_LT(policy->DelayFor(Key("0"), false), milliseconds(30));
}

// Guards against a group that never hedges again after a permanent latency
// increase, such as from a larger index.
TEST(HedgePolicyTest, LastingChangeBecomesTheNewBaseline) {
  auto policy = HedgePolicy::Create();
  ObserveUniform(policy.get(), Key("0"), 1000, 8000, 12000);
  ObserveUniform(policy.get(), Key("0"), 5000, 40000, 60000);
  EXPECT_LT(policy->DelayFor(Key("0"), false), milliseconds(120));
}

// Guards against quantiles outside the bucket of the true value.
RC_GTEST_PROP(LatencyHistogramTest, QuantileIsWithinOneBucket, ()) {
  auto values = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(64, 60'000'000)));
  LatencyHistogram histogram(1'000'000);
  for (int value : values) {
    histogram.Add(microseconds(value));
  }
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(std::ceil(0.95 * static_cast<double>(values.size())));
  const double exact = values[std::max<size_t>(rank, 1) - 1];
  const auto found = static_cast<double>(histogram.Quantile(0.95).count());
  RC_ASSERT(found >= exact);
  RC_ASSERT(found <= exact * 1.26);
}

}  // namespace
}  // namespace wasabihook
