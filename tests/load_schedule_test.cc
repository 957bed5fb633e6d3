#include "testing/load/schedule.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <chrono>

#include "testing/load/quantiles.h"
#include "testing/load/run_statistics.h"

namespace wasabihook::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261204;

std::vector<Duration> TimesOf(const std::vector<Arrival>& arrivals,
                              size_t stream) {
  std::vector<Duration> times;
  for (const Arrival& arrival : arrivals) {
    if (arrival.stream == stream) {
      times.push_back(arrival.at);
    }
  }
  return times;
}

// Guards against a wrong unit of the rate and against arrivals that are not
// Poisson, whose gaps have a standard deviation equal to their mean.
TEST(Schedule, HasTheRateAndTheSpreadOfPoissonArrivals) {
  const auto arrivals = PoissonSchedule(
      {{.stream = 0, .rate = 200, .from = seconds(1), .to = seconds(101)}},
      kSeed);
  EXPECT_NEAR(static_cast<double>(arrivals.size()), 20000, 600);
  double sum = 0;
  double squares = 0;
  for (size_t i = 1; i < arrivals.size(); ++i) {
    const double gap =
        static_cast<double>((arrivals[i].at - arrivals[i - 1].at).count());
    sum += gap;
    squares += gap * gap;
  }
  const auto gaps = static_cast<double>(arrivals.size() - 1);
  const double mean = sum / gaps;
  EXPECT_NEAR((squares / gaps - mean * mean) / (mean * mean), 1, 0.1);
  EXPECT_GE(arrivals.front().at, seconds(1));
  EXPECT_LT(arrivals.back().at, seconds(101));
}

// Guards against different requests in product and baseline runs.
TEST(Schedule, DependsOnSeedAndOwnPlanOnly) {
  const ArrivalPlan first{0, 50, Duration(0), seconds(10)};
  const ArrivalPlan second{1, 70, Duration(0), seconds(10)};
  const auto alone = PoissonSchedule({first}, kSeed);
  const auto both = PoissonSchedule({second, first}, kSeed);
  EXPECT_EQ(TimesOf(alone, 0), TimesOf(both, 0));
  EXPECT_NE(TimesOf(alone, 0), TimesOf(PoissonSchedule({first}, kSeed + 1), 0));
  EXPECT_TRUE(
      std::is_sorted(both.begin(), both.end(),
                     [](const auto& a, const auto& b) { return a.at < b.at; }));
}

// Guards against an off-by-one rank, which hides the slowest answer.
TEST(Quantile, IsTheNearestRank) {
  std::vector<Duration> values;
  for (int i = 100; i >= 1; --i) {
    values.emplace_back(i);
  }
  EXPECT_EQ(Quantile(values, 0.5), Duration(50));
  EXPECT_EQ(Quantile(values, 0.99), Duration(99));
  EXPECT_EQ(Quantile(values, 0.999), Duration(100));
  EXPECT_EQ(Quantile(values, 0), Duration(1));
  EXPECT_EQ(Quantile({}, 0.5), Duration(0));
}

// Guards against quantiles that cover less than the stated share of the values.
RC_GTEST_PROP(QuantileProperty, CoversTheStatedShare, ()) {
  const auto micros = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
  std::vector<Duration> values(micros.begin(), micros.end());
  const double quantile = *rc::gen::inRange(1, 1000) / 1000.0;
  const Duration found = Quantile(values, quantile);
  const auto share = [&](auto below) {
    return static_cast<double>(
               std::count_if(values.begin(), values.end(), below)) /
           static_cast<double>(values.size());
  };
  RC_ASSERT(share([&](Duration v) { return v <= found; }) >= quantile - 1e-9);
  RC_ASSERT(share([&](Duration v) { return v < found; }) < quantile);
}

Sample At(Duration at, Duration latency, Outcome outcome, double coverage = 1) {
  return {.stream = 0,
          .at = at,
          .latency = latency,
          .deadline = seconds(1),
          .outcome = outcome,
          .coverage = coverage,
          .groups = 0};
}

// Guards against lost requests that improve the latency, refusals that affect
// it, and warm-up samples that are counted.
TEST(RunStatistics, CountsEachOutcomeOnce) {
  const RunStatistics statistics = ComputeStatistics(
      {At(milliseconds(-1), seconds(9), Outcome::kError),
       At(milliseconds(0), milliseconds(10), Outcome::kComplete),
       At(milliseconds(1), milliseconds(20), Outcome::kPartial, 0.5),
       At(milliseconds(2), milliseconds(1), Outcome::kRefused),
       At(milliseconds(3), milliseconds(1100), Outcome::kError)},
      Duration(0), seconds(1));
  EXPECT_EQ(statistics.requests, 4u);
  EXPECT_EQ(statistics.refused, 1u);
  EXPECT_EQ(statistics.errors, 1u);
  EXPECT_EQ(statistics.p50, milliseconds(20));
  EXPECT_EQ(statistics.p99, milliseconds(1100));
  EXPECT_EQ(statistics.refusal_p99, milliseconds(1));
  EXPECT_DOUBLE_EQ(statistics.coverage, 0.75);
  EXPECT_DOUBLE_EQ(statistics.complete_share, 0.25);
  EXPECT_DOUBLE_EQ(statistics.deadline_share, 1.1);
  EXPECT_DOUBLE_EQ(statistics.goodput, 1);
}

// Guards against latency measured from the actual send time, which hides a
// generator that falls behind its schedule.
TEST(RunStatistics, MeasuresLatencyFromIntendedSendTime) {
  LoadRequest request;
  request.at = seconds(5);
  request.deadline = seconds(1);
  Response response;
  response.sent = seconds(6);
  response.done = seconds(7);
  response.status = 429;
  response.body = R"({"run_state":"not_run"})";
  const Sample sample = ToSample(request, response, seconds(4));
  EXPECT_EQ(sample.at, seconds(1));
  EXPECT_EQ(sample.latency, seconds(2));
  EXPECT_EQ(sample.outcome, Outcome::kRefused);
  response.body = "<html>";
  EXPECT_EQ(ToSample(request, response, seconds(4)).outcome, Outcome::kError);
}

}  // namespace
}  // namespace wasabihook::load
