#include "testing/load/report.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <stdexcept>

#include "testing/load/request_plan.h"
#include "testing/load/scenario.h"

namespace wasabihook::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr char kScenario[] = R"(
name = "s"
title = "t"
deployment = "d"
warm_up_ms = 1000
length_ms = 4000
[[load]]
team = "a"
index_set = "x"
busy = 0.5
operation_share = 0.3
fetch_share = 0.2
[[fault]]
at_s = 1
action = "crash_request"
index_set = "x"
servers = 3
extra_ms = 100
[[bound]]
measure = "p99"
at_most = 0.5
relative_to = "baseline"
)";

RunResult ResultWith(const std::string& settings, Duration latency) {
  RunResult result;
  result.scenario = "s";
  result.settings = settings;
  result.samples.push_back({.stream = 0,
                            .at = Duration(0),
                            .latency = latency,
                            .deadline = seconds(1),
                            .outcome = Outcome::kComplete,
                            .coverage = 1,
                            .groups = 0});
  const Bound bound{.measure = "p99",
                    .at_least = false,
                    .limit = 0.5,
                    .relative_to = kBaselineSettings,
                    .from = std::nullopt,
                    .to = std::nullopt};
  result.bounds.push_back(
      {bound, std::chrono::duration<double, std::milli>(latency).count()});
  return result;
}

// Guards against a missed bound that is reported as met, and against a result
// for a relative bound whose reference run is absent.
TEST(Report, EvaluatesRelativeBounds) {
  const RunResult baseline = ResultWith(kBaselineSettings, milliseconds(100));
  const RunResult good = ResultWith(kProductSettings, milliseconds(49));
  const RunResult bad = ResultWith(kProductSettings, milliseconds(51));
  EXPECT_THAT(MarkdownTable({good, baseline}), HasSubstr("= 50: 49 met"));
  EXPECT_THAT(MarkdownTable({bad, baseline}), HasSubstr("= 50: 51 **MISSED**"));
  EXPECT_THAT(MarkdownTable({good}), HasSubstr("49 not judged"));
  EXPECT_THAT(MarkdownTable({good, baseline}), Not(HasSubstr("MISSED")));
}

// Guards against results that change when written to and read from their file.
TEST(Report, ResultsRoundTripThroughJson) {
  RunResult result = ResultWith(kProductSettings, milliseconds(51));
  result.wrong = 3;
  result.runs_checked = 7;
  result.statistics.p99 = milliseconds(51);
  const RunResult read = ResultFromJson(ToJson(result));
  EXPECT_EQ(MarkdownTable({read}), MarkdownTable({result}));
  EXPECT_EQ(read.samples.size(), 1u);
}

// Guards against misspelt keys that are ignored and so weaken a scenario.
TEST(ScenarioFile, RejectsUnknownAndContradictoryKeys) {
  EXPECT_NO_THROW(ParseScenario(kScenario, "s.toml"));
  EXPECT_THROW(ParseScenario(std::string(kScenario) + "at_mots = 1\n", "s"),
               std::runtime_error);
  EXPECT_THROW(ParseScenario(std::string(kScenario) + "at_least = 1\n", "s"),
               std::runtime_error);
}

// Guards against invalid scenario files in bench/scenarios.
TEST(ScenarioFile, AllFilesOfTheProjectAreValid) {
  size_t count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("bench/scenarios")) {
    EXPECT_NO_THROW(ReadScenario(entry.path())) << entry.path();
    ++count;
  }
  EXPECT_GT(count, 0u);
}

// Guards against plans that differ between product and baseline runs, repeated
// operations with another idempotency key, and crash requests that skip an
// instance.
TEST(RequestPlan, IsRepeatableAndResendsWithTheSameKey) {
  const Scenario scenario = ParseScenario(kScenario, "s.toml");
  const std::map<std::string, IndexSetSize> sizes = {{"x", {4, 2, 2}}};
  const PlanOptions options{.seed = 5,
                            .service = {8, 0},
                            .records_per_group = 10,
                            .instances = 2,
                            .crash_marker = "boom"};
  const auto plan = PlanRequests(scenario, sizes, options);
  const auto again = PlanRequests(scenario, sizes, options);
  ASSERT_EQ(plan.size(), again.size());
  std::map<std::string, size_t> sends;
  std::vector<int> crash_instances;
  for (size_t i = 0; i < plan.size(); ++i) {
    EXPECT_EQ(plan[i].id, again[i].id);
    EXPECT_EQ(plan[i].at, again[i].at);
    if (plan[i].kind == RequestKind::kOperation) {
      ++sends[plan[i].idempotency_key];
    }
    if (plan[i].instance >= 0) {
      crash_instances.push_back(plan[i].instance);
      EXPECT_THAT(plan[i].payload, HasSubstr("boom"));
    }
  }
  EXPECT_THAT(crash_instances, ::testing::ElementsAre(0, 1, 0));
  // 4 slots at 8 ms have a capacity of 500/s; half of it for 5 s.
  EXPECT_NEAR(static_cast<double>(plan.size()), 1250, 250);
  size_t resent = 0;
  for (const auto& [key, count] : sends) {
    resent += count == 2 ? 1 : 0;
  }
  EXPECT_GT(resent, 0u);
}

}  // namespace
}  // namespace wasabihook::load
