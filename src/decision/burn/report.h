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

// Error budget report of all teams, computed from the stored counts of all data
// centres.

inline constexpr std::array<Duration, 4> kReportWindows = {
    config::minutes(5), config::hours(1), config::hours(6), config::hours(72)};
// Indexes into kReportWindows.
enum ReportWindow : size_t { kFiveMinutes, kOneHour, kSixHours, kThreeDays };

struct CauseCount {
  BurnCause cause;
  uint64_t requests = 0;
  // Fraction of the bad requests of the objective.
  Fraction share;
};

struct WindowReport {
  Duration length{0};
  uint64_t requests = 0;
  uint64_t latency_bad = 0;
  uint64_t coverage_bad = 0;
  // Burn rate: the bad fraction of the requests divided by the fraction that
  // the target allows.
  double latency_burn = 0;
  double coverage_burn = 0;
  // Latency percentiles of answers, without refusals and errors.
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

// Counts of one time interval in a plot.
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
  // Remaining fraction of the error budget of 3 d; negative if overspent.
  double latency_budget_left = 1;
  double coverage_budget_left = 1;
  std::vector<SeriesPoint> six_hours;   // Intervals of 5 min.
  std::vector<SeriesPoint> three_days;  // Intervals of 1 h.
};

struct DataCentreReport {
  DataCentreId data_centre;
  // Time since the end of the newest minute with counts.
  Duration age{0};
  uint64_t refused_buckets = 0;
};

struct BurnReport {
  WallTime generated;
  // End of all windows: the end of the newest minute with counts.
  WallTime counts_until;
  std::vector<DataCentreReport> data_centres;
  std::vector<TeamReport> teams;
  // One sentence for each stored value that could not be read.
  std::vector<std::string> problems;
};

BurnReport MakeBurnReport(const std::map<DataCentreId, BurnLedger>& ledgers,
                          WallTime now);

// For example "99 % of answers within 82 ms".
std::string DescribeObjective(BurnObjective objective,
                              const BurnObjectives& objectives);
std::string ToString(AlertLevel level);
// For example "5 min", "1 h" or "3 d".
std::string DescribeWindow(Duration length);
// For example "2026-12-04 05:28 UTC".
std::string DescribeTime(WallTime time);
// True if the newest counts are older than config::kReportStalenessThreshold.
bool IsStale(const DataCentreReport& data_centre);

std::string FormatReportText(const BurnReport& report);
std::string FormatReportJson(const BurnReport& report);
// One self-contained page with inline plots.
std::string FormatReportHtml(const BurnReport& report);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_REPORT_H_
