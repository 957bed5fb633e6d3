#include <spdlog/fmt/fmt.h>

#include <iterator>

#include "decision/burn/report.h"

namespace wasabihook {
namespace {

using Output = std::back_insert_iterator<std::string>;

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

void FormatWindows(const TeamReport& team, Output out) {
  fmt::format_to(out, "  {:<7}{:>12}{:>10}{:>8}{:>10}{:>8}{:>10}{:>10}{:>10}\n",
                 "window", "requests", "late", "burn", "partial", "burn",
                 "p50 ms", "p99 ms", "p99.9 ms");
  for (const WindowReport& window : team.windows) {
    fmt::format_to(out,
                   "  {:<7}{:>12}{:>10}{:>8.2f}{:>10}{:>8.2f}{:>10.1f}{:>10.1f}"
                   "{:>10.1f}\n",
                   DescribeWindow(window.length), window.requests,
                   window.latency_bad, window.latency_burn, window.coverage_bad,
                   window.coverage_burn, Milliseconds(window.p50),
                   Milliseconds(window.p99), Milliseconds(window.p999));
  }
}

void FormatCauses(const WindowReport& window, Output out) {
  if (window.causes.empty()) {
    return;
  }
  fmt::format_to(out, "  causes over {}:\n", DescribeWindow(window.length));
  for (const CauseCount& cause : window.causes) {
    fmt::format_to(out, "    {:<9}{:<14}{:<24}{:>10} ({:.1f} %)\n",
                   ToString(cause.cause.objective), ToString(cause.cause.kind),
                   cause.cause.detail, cause.requests, cause.share.value * 100);
  }
}

void FormatTeam(const TeamReport& team, Output out) {
  fmt::format_to(out, "\nteam {}: {}; {}\n", team.team.value(),
                 DescribeObjective(BurnObjective::kLatency, team.objectives),
                 DescribeObjective(BurnObjective::kCoverage, team.objectives));
  for (const BurnAlert& alert : team.alerts) {
    fmt::format_to(out, "  ALERT {}: {} budget\n", ToString(alert.level),
                   ToString(alert.objective));
  }
  FormatWindows(team, out);
  fmt::format_to(out,
                 "  budget left of 3 d: latency {:.1f} %, coverage "
                 "{:.1f} %\n",
                 team.latency_budget_left * 100,
                 team.coverage_budget_left * 100);
  FormatCauses(team.windows.at(kOneHour), out);
  FormatCauses(team.windows.at(kThreeDays), out);
}

}  // namespace

std::string FormatReportText(const BurnReport& report) {
  std::string text;
  const Output out = std::back_inserter(text);
  fmt::format_to(out, "Burn report of {}", DescribeTime(report.generated));
  if (!report.teams.empty()) {
    fmt::format_to(out, "; windows end at {}",
                   DescribeTime(report.counts_until));
  }
  text += '\n';
  for (const std::string& problem : report.problems) {
    fmt::format_to(out, "WARNING: {}\n", problem);
  }
  for (const DataCentreReport& data_centre : report.data_centres) {
    fmt::format_to(
        out,
        "data centre {}: newest counts {} min ago{}, {} late buckets "
        "refused\n",
        data_centre.data_centre.value(),
        std::chrono::duration_cast<std::chrono::minutes>(data_centre.age)
            .count(),
        IsStale(data_centre) ? " (STALE)" : "", data_centre.refused_buckets);
  }
  if (report.teams.empty()) {
    text += "No counts.\n";
  }
  for (const TeamReport& team : report.teams) {
    FormatTeam(team, out);
  }
  return text;
}

}  // namespace wasabihook
