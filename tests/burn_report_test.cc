#include "decision/burn/report.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "decision/burn/burn_codec.h"
#include "decision/burn/report_plot.h"
#include "peers/operator/report_command.h"

namespace wasabihook {
namespace {

using std::chrono::minutes;

constexpr int64_t kNow = 29'680'000;  // Minutes since the Unix epoch.
constexpr int64_t kMinutes = int64_t{3} * 24 * 60;

// Counts of one team with 1,000 requests a minute, of which `late` are late in
// each of the last `bad_minutes` and none before.
BurnLedger LedgerWith(uint64_t late, int64_t bad_minutes) {
  BurnLedger ledger;
  TeamLedger& team = ledger.teams[TeamId("clerks")];
  for (int64_t age = 1; age <= kMinutes; ++age) {
    BurnCell cell;
    cell.requests = 1000;
    if (age <= bad_minutes) {
      cell.latency_bad = late;
      cell.causes[{BurnObjective::kLatency, BurnCauseKind::kStraggler,
                   "10.0.0.7:80"}] = late;
    }
    cell.latency.Add(BurnHistogram::IndexOf(std::chrono::milliseconds(20)),
                     1000);
    team.cells[{kNow - age, 1}] = cell;
  }
  ledger.newest_minute = kNow - 1;
  return ledger;
}

TeamReport ReportOf(const BurnLedger& ledger) {
  return MakeBurnReport({{DataCentreId("bole"), ledger}},
                        WallTime{minutes(kNow)})
      .teams.at(0);
}

bool HasAlert(const TeamReport& team, AlertLevel level) {
  for (const BurnAlert& alert : team.alerts) {
    if (alert.level == level && alert.objective == BurnObjective::kLatency) {
      return true;
    }
  }
  return false;
}

// Guards against wrong burn rates: 20 % late requests at a target of 99 % are a
// burn rate of 20 in windows that are bad throughout.
TEST(BurnReportTest, ComputesBurnRatesAndBudget) {
  const TeamReport team = ReportOf(LedgerWith(200, 60));
  EXPECT_NEAR(team.windows[kFiveMinutes].latency_burn, 20, 1e-9);
  EXPECT_NEAR(team.windows[kOneHour].latency_burn, 20, 1e-9);
  EXPECT_NEAR(team.windows[kSixHours].latency_burn, 20.0 / 6, 1e-9);
  EXPECT_NEAR(team.latency_budget_left, 1 - 20.0 / 72, 1e-9);
  EXPECT_DOUBLE_EQ(team.coverage_budget_left, 1);
  EXPECT_EQ(team.windows[kOneHour].requests, 60'000u);
  ASSERT_EQ(team.windows[kOneHour].causes.size(), 1u);
  EXPECT_EQ(team.windows[kOneHour].causes[0].cause.detail, "10.0.0.7:80");
  EXPECT_DOUBLE_EQ(team.windows[kOneHour].causes[0].share.value, 1);
}

// Guards against paging for a spike that is short or below the threshold, and
// against a missing page.
TEST(BurnReportTest, PagesOnlyWhenBothWindowsBurn) {
  EXPECT_TRUE(HasAlert(ReportOf(LedgerWith(200, 60)), AlertLevel::kPage));
  EXPECT_FALSE(HasAlert(ReportOf(LedgerWith(200, 5)), AlertLevel::kPage));
  EXPECT_FALSE(HasAlert(ReportOf(LedgerWith(140, 60)), AlertLevel::kPage));
}

// Guards against a slow burn that raises no alert.
TEST(BurnReportTest, TicketsOnSlowBurn) {
  const TeamReport slow = ReportOf(LedgerWith(11, kMinutes));
  EXPECT_TRUE(HasAlert(slow, AlertLevel::kTicket));
  EXPECT_FALSE(HasAlert(slow, AlertLevel::kPage));
  EXPECT_LT(slow.latency_budget_left, 0);
  EXPECT_TRUE(ReportOf(LedgerWith(9, kMinutes)).alerts.empty());
}

// Guards against a division by zero for a team without requests and for a
// target of 100 %.
TEST(BurnReportTest, BurnRateIsFinite) {
  BurnLedger ledger = LedgerWith(1, 5);
  ledger.teams[TeamId("clerks")].objectives.latency_target.value = 1;
  EXPECT_TRUE(std::isfinite(ReportOf(ledger).windows[kOneHour].latency_burn));
  ledger.teams[TeamId("clerks")].cells.clear();
  EXPECT_EQ(ReportOf(ledger).windows[kOneHour].latency_burn, 0);
}

// Guards against a report that presents old counts as current.
TEST(BurnReportTest, MarksDataCentresWithoutFreshCounts) {
  const BurnReport report = MakeBurnReport(
      {{DataCentreId("bole"), LedgerWith(0, 0)}, {DataCentreId("new"), {}}},
      WallTime{minutes(kNow + 11)});
  EXPECT_TRUE(IsStale(report.data_centres.at(0)));
  EXPECT_NE(FormatReportText(report).find("STALE"), std::string::npos);
}

// Guards against script injection through names in the report page.
TEST(BurnReportTest, EscapesNamesInThePage) {
  BurnLedger ledger;
  BurnCell cell;
  cell.requests = cell.latency_bad = 1;
  cell.causes[{BurnObjective::kLatency, BurnCauseKind::kStraggler,
               "<script>x</script>"}] = 1;
  ledger.teams[TeamId("<img src=x>")].cells[{kNow - 1, 1}] = cell;
  ledger.newest_minute = kNow - 1;
  const std::string html = FormatReportHtml(
      MakeBurnReport({{DataCentreId("<b>"), ledger}}, WallTime{minutes(kNow)}));
  EXPECT_EQ(html.find("<script"), std::string::npos);
  EXPECT_EQ(html.find("<img"), std::string::npos);
  EXPECT_EQ(html.find("<b>&lt;"), std::string::npos);
  EXPECT_NE(html.find("&lt;script&gt;"), std::string::npos);
}

class ListOnlyStore : public KeyValueStore {
 public:
  void Get(std::string, std::function<void(GetResult)>) override {}
  void List(std::string,
            std::optional<Revision>,
            Duration,
            std::function<void(ListResult)> done) override {
    done(m_result);
  }
  void CompareAndSwap(std::string,
                      Revision,
                      std::string,
                      std::function<void(WriteResult)>) override {}
  void Delete(std::string,
              Revision,
              std::function<void(WriteResult)>) override {}

  ListResult m_result{StoreStatus::kOk, {}, {}};
};

// Guards against a malformed value that prevents the report of all others.
TEST(ReportCommandTest, ReportsTheRestWhenOneValueIsMalformed) {
  ListOnlyStore store;
  store.m_result.entries = {
      {"burn/bole", EncodeBurnLedger(LedgerWith(200, 60)), Revision(1)},
      {"burn/broken", "{", Revision(2)}};
  std::ostringstream out;
  RunReportCommand(store, WallTime{minutes(kNow)}, {ReportFormat::kJson, ""},
                   out);
  const auto json = nlohmann::json::parse(out.str());
  EXPECT_EQ(json["problems"].size(), 1u);
  EXPECT_EQ(json["teams"][0]["team"], "clerks");
  EXPECT_EQ(json["teams"][0]["alerts"][0]["level"], "page");
}

// Guards against an empty report without an error when the platform is down.
TEST(ReportCommandTest, FailsWhenThePlatformIsDown) {
  ListOnlyStore store;
  store.m_result.status = StoreStatus::kUnavailable;
  std::ostringstream out;
  EXPECT_THROW(RunReportCommand(store, WallTime{minutes(kNow)}, {}, out),
               std::runtime_error);
}

}  // namespace
}  // namespace wasabihook
