#include "decision/burn/report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <ctime>

namespace wasabihook {
namespace {

using std::chrono::minutes;

// Keeps the burn rate finite for a target of 100 %.
constexpr double kMinAllowedShare = 1e-6;

int64_t InMinutes(Duration duration) {
  return std::chrono::duration_cast<minutes>(duration).count();
}

double BurnRate(uint64_t bad, uint64_t requests, Fraction target) {
  if (requests == 0) {
    return 0;
  }
  const double allowed = std::max(1 - target.value, kMinAllowedShare);
  return static_cast<double>(bad) / static_cast<double>(requests) / allowed;
}

void AddCauses(BurnObjective objective,
               uint64_t bad,
               const BurnCell& cell,
               std::vector<CauseCount>& causes) {
  std::vector<CauseCount> found;
  for (const auto& [cause, count] : cell.causes) {
    if (cause.objective == objective) {
      const double share = static_cast<double>(count) /
                           static_cast<double>(std::max<uint64_t>(bad, 1));
      found.push_back({cause, count, Fraction{share}});
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const CauseCount& a, const CauseCount& b) {
                     return a.requests > b.requests;
                   });
  found.resize(std::min(found.size(), config::kReportCauses));
  causes.insert(causes.end(), found.begin(), found.end());
}

WindowReport Summarize(Duration length,
                       const BurnCell& cell,
                       const BurnObjectives& objectives) {
  WindowReport window;
  window.length = length;
  window.requests = cell.requests;
  window.latency_bad = cell.latency_bad;
  window.coverage_bad = cell.coverage_bad;
  window.latency_burn =
      BurnRate(cell.latency_bad, cell.requests, objectives.latency_target);
  window.coverage_burn =
      BurnRate(cell.coverage_bad, cell.requests, objectives.coverage_target);
  window.p50 = cell.latency.Quantile(Fraction{0.5});
  window.p99 = cell.latency.Quantile(Fraction{0.99});
  window.p999 = cell.latency.Quantile(Fraction{0.999});
  AddCauses(BurnObjective::kLatency, cell.latency_bad, cell, window.causes);
  AddCauses(BurnObjective::kCoverage, cell.coverage_bad, cell, window.causes);
  return window;
}

// A cell that overlaps the window is counted in full, so a window may cover up
// to one cell more than its nominal length.
BurnCell SumOver(const TeamLedger& team, int64_t from, int64_t until) {
  BurnCell sum;
  for (const auto& [span, cell] : team.cells) {
    if (span.start + span.width > from && span.start < until) {
      sum.Merge(cell);
    }
  }
  return sum;
}

// Intervals without requests are omitted, so that the plot shows a gap.
std::vector<SeriesPoint> Series(const TeamLedger& team,
                                Duration length,
                                int32_t width,
                                int64_t until) {
  std::map<int64_t, BurnCell> by_start;
  const int64_t from = until - InMinutes(length);
  for (const auto& [span, cell] : team.cells) {
    if (span.start >= from && span.start < until) {
      by_start[span.start - span.start % width].Merge(cell);
    }
  }
  std::vector<SeriesPoint> points;
  for (const auto& [start, cell] : by_start) {
    points.push_back(
        {start, width, Summarize(minutes(width), cell, team.objectives)});
  }
  return points;
}

void AddAlerts(BurnObjective objective,
               double WindowReport::*burn,
               TeamReport& team) {
  const auto both_above = [&](ReportWindow a, ReportWindow b, double rate) {
    return team.windows.at(a).*burn > rate && team.windows.at(b).*burn > rate;
  };
  if (both_above(kFiveMinutes, kOneHour, config::kPageBurnRate)) {
    team.alerts.push_back({AlertLevel::kPage, objective});
  }
  if (both_above(kSixHours, kThreeDays, config::kTicketBurnRate)) {
    team.alerts.push_back({AlertLevel::kTicket, objective});
  }
}

TeamReport ReportTeam(const TeamId& id,
                      const TeamLedger& ledger,
                      int64_t until) {
  TeamReport team;
  team.team = id;
  team.objectives = ledger.objectives;
  for (size_t i = 0; i < kReportWindows.size(); ++i) {
    const Duration length = kReportWindows.at(i);
    team.windows.at(i) =
        Summarize(length, SumOver(ledger, until - InMinutes(length), until),
                  ledger.objectives);
  }
  AddAlerts(BurnObjective::kLatency, &WindowReport::latency_burn, team);
  AddAlerts(BurnObjective::kCoverage, &WindowReport::coverage_burn, team);
  team.latency_budget_left = 1 - team.windows.at(kThreeDays).latency_burn;
  team.coverage_budget_left = 1 - team.windows.at(kThreeDays).coverage_burn;
  team.six_hours = Series(ledger, kReportWindows.at(kSixHours), 5, until);
  team.three_days = Series(ledger, kReportWindows.at(kThreeDays), 60, until);
  return team;
}

std::map<TeamId, TeamLedger> MergeTeams(
    const std::map<DataCentreId, BurnLedger>& ledgers) {
  std::map<TeamId, TeamLedger> teams;
  int64_t newest = 0;
  for (const auto& [data_centre, ledger] : ledgers) {
    for (const auto& [id, team] : ledger.teams) {
      auto [it, is_new] = teams.try_emplace(id);
      if (is_new || ledger.newest_minute > newest) {
        it->second.objectives = team.objectives;
      }
      for (const auto& [span, cell] : team.cells) {
        it->second.cells[span].Merge(cell);
      }
    }
    newest = std::max(newest, ledger.newest_minute);
  }
  return teams;
}

}  // namespace

BurnReport MakeBurnReport(const std::map<DataCentreId, BurnLedger>& ledgers,
                          WallTime now) {
  BurnReport report;
  report.generated = now;
  int64_t until = 0;
  for (const auto& [id, ledger] : ledgers) {
    const WallTime end{minutes(ledger.newest_minute + 1)};
    const auto age = std::max(now.since_unix_epoch - end.since_unix_epoch,
                              std::chrono::milliseconds(0));
    report.data_centres.push_back({id, age, ledger.refused_buckets});
    until = std::max(until, ledger.newest_minute + 1);
  }
  report.counts_until = WallTime{minutes(until)};
  for (const auto& [id, team] : MergeTeams(ledgers)) {
    report.teams.push_back(ReportTeam(id, team, until));
  }
  return report;
}

std::string DescribeObjective(BurnObjective objective,
                              const BurnObjectives& objectives) {
  if (objective == BurnObjective::kCoverage) {
    return fmt::format("{:g} % of answers complete",
                       objectives.coverage_target.value * 100);
  }
  return fmt::format(
      "{:g} % of answers within {:g} ms", objectives.latency_target.value * 100,
      static_cast<double>(objectives.latency_objective.count()) / 1000);
}

std::string ToString(AlertLevel level) {
  return level == AlertLevel::kPage ? "page" : "ticket";
}

std::string DescribeWindow(Duration length) {
  if (length < config::hours(1)) {
    return fmt::format("{} min", InMinutes(length));
  }
  const int64_t hours = InMinutes(length) / 60;
  return hours < 24 ? fmt::format("{} h", hours)
                    : fmt::format("{} d", hours / 24);
}

std::string DescribeTime(WallTime time) {
  const std::time_t seconds =
      std::chrono::floor<std::chrono::seconds>(time.since_unix_epoch).count();
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  return fmt::format("{:04}-{:02}-{:02} {:02}:{:02} UTC", utc.tm_year + 1900,
                     utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min);
}

bool IsStale(const DataCentreReport& data_centre) {
  return data_centre.age > config::kReportStalenessThreshold;
}

}  // namespace wasabihook
