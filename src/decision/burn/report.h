#ifndef SRC_DECISION_BURN_REPORT_H_
#define SRC_DECISION_BURN_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decision/burn/burn_ledger.h"
#include "wasabihook/burn_counts.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Service-level burn report of all teams, from the stored counts of all data
// centres.

inline constexpr std::array<Duration, 4> kReportWindows = {
    config::minutes(5), config::hours(1), config::hours(6), config::hours(72)};
// Indexes into kReportWindows.
enum ReportWindow : size_t { kFiveMinutes, kOneHour, kSixHours, kThreeDays };

struct CauseCount {
  BurnCause cause;
  uint64_t requests = 0;
  // Share of the bad requests of the objective.
  Fraction share;
};

struct WindowReport {
  Duration length{0};
  uint64_t requests = 0;
  uint64_t latency_bad = 0;
  uint64_t coverage_bad = 0;
  // Bad share of the requests over the share that the target allows.
  double latency_burn = 0;
  double coverage_burn = 0;
  // Of answers; refusals and errors have none.
  Duration p50{0};
  Duration p99{0};
  Duration p999{0};
  // Most frequent first, at most config::kReportCauses per objective.
  std::vector<CauseCount> causes;
};

enum class AlertLevel : uint8_t {
  kPage,    // 5 min and 1 h both burn above config::kPageBurnRate.
  kTicket,  // 6 h and 3 d both burn above config::kTicketBurnRate.
};

struct BurnAlert {
  AlertLevel level = AlertLevel::kTicket;
  BurnObjective objective = BurnObjective::kLatency;
};

// One stretch of time in a plot.
struct SeriesPoint {
  int64_t minute = 0;  // Start, minutes since the Unix epoch.
  int32_t width = 5;   // Minutes.
  WindowReport counts;
};

struct TeamReport {
  TeamId team;
  BurnObjectives objectives;
  std::array<WindowReport, kReportWindows.size()> windows;
  std::vector<BurnAlert> alerts;
  // Of the budget of 3 d; negative if more than all of it is used up.
  double latency_budget_left = 1;
  double coverage_budget_left = 1;
  std::vector<SeriesPoint> six_hours;   // By five minutes.
  std::vector<SeriesPoint> three_days;  // By the hour.
};

struct DataCentreReport {
  DataCentreId data_centre;
  // Time since the end of the newest minute that holds counts.
  Duration age{0};
  uint64_t refused_buckets = 0;
};

struct BurnReport {
  WallTime generated;
  // All windows end here: the end of the newest minute that holds counts.
  WallTime counts_until;
  std::vector<DataCentreReport> data_centres;
  std::vector<TeamReport> teams;
  // Counts that could not be read, one sentence each.
  std::vector<std::string> problems;
};

BurnReport MakeBurnReport(const std::map<DataCentreId, BurnLedger>& ledgers,
                          WallTime now);

// "latency" of 99 % within 82 ms, in words.
std::string DescribeObjective(BurnObjective objective,
                              const BurnObjectives& objectives);
std::string ToString(AlertLevel level);
// "5 min", "1 h", "3 d".
std::string DescribeWindow(Duration length);
// "2026-12-04 05:28 UTC".
std::string DescribeTime(WallTime time);
// True if the counts of a data centre are too old to judge the present.
bool IsStale(const DataCentreReport& data_centre);

std::string FormatReportText(const BurnReport& report);
std::string FormatReportJson(const BurnReport& report);
// One self-contained page with inline plots.
std::string FormatReportHtml(const BurnReport& report);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_REPORT_H_
