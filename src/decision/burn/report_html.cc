#include <spdlog/fmt/fmt.h>

#include <iterator>

#include "decision/burn/report.h"
#include "decision/burn/report_plot.h"

namespace wasabihook {
namespace {

using Output = std::back_insert_iterator<std::string>;

constexpr char kHead[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>Burn report</title><style>
body{font:14px/1.45 system-ui,sans-serif;color:#1c2430;background:#fff;
max-width:1180px;margin:24px auto;padding:0 16px}
h1{font-size:22px;margin:0 0 4px}
h2{font-size:18px;margin:36px 0 4px;border-top:1px solid #d5dae1;
padding-top:16px}
h3{font-size:14px;margin:16px 0 4px}
p{margin:4px 0;color:#4a5565}
table{border-collapse:collapse;margin:8px 0;font-variant-numeric:tabular-nums}
th,td{padding:3px 12px 3px 0;text-align:right;border-bottom:1px solid #e8ebef}
th{font-weight:600;color:#4a5565}
th:first-child,td:first-child,td.left,th.left{text-align:left}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(480px,1fr));
gap:12px 24px}
.causes{display:flex;flex-wrap:wrap;gap:0 48px}
svg{width:100%;height:auto}
svg text{font:11px system-ui,sans-serif;fill:#4a5565}
svg .title{font-weight:600;font-size:12px;fill:#1c2430}
svg .grid{stroke:#e8ebef}
svg .limit{stroke:#8a94a3;stroke-dasharray:4 3}
svg path{fill:none;stroke-width:1.6;stroke-linecap:round}
path.a{stroke:#1f6fb4}path.b{stroke:#c4570c}path.c{stroke:#8b2f8f}
svg text.a{fill:#1f6fb4}svg text.b{fill:#c4570c}svg text.c{fill:#8b2f8f}
.alert{padding:6px 10px;border-left:4px solid;margin:6px 0;color:#1c2430}
.page{background:#fdecea;border-color:#b3261e}
.ticket{background:#fff4e0;border-color:#b26a00}
.over{color:#b3261e;font-weight:600}
</style></head><body>
)";

double Milliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

std::string BurnCellHtml(double burn) {
  return fmt::format("<td{}>{:.2f}</td>", burn > 1 ? " class='over'" : "",
                     burn);
}

void RenderWindows(const TeamReport& team, Output out) {
  fmt::format_to(out,
                 "<table><tr><th>window</th><th>requests</th><th>late</th>"
                 "<th>latency burn</th><th>incomplete</th><th>coverage burn"
                 "</th><th>p50</th><th>p99</th><th>p99.9</th></tr>");
  for (const WindowReport& window : team.windows) {
    fmt::format_to(
        out,
        "<tr><td>{}</td><td>{}</td><td>{}</td>{}<td>{}</td>{}"
        "<td>{:.1f} ms</td><td>{:.1f} ms</td><td>{:.1f} ms</td></tr>",
        DescribeWindow(window.length), window.requests, window.latency_bad,
        BurnCellHtml(window.latency_burn), window.coverage_bad,
        BurnCellHtml(window.coverage_burn), Milliseconds(window.p50),
        Milliseconds(window.p99), Milliseconds(window.p999));
  }
  fmt::format_to(out, "</table>");
}

void RenderCauses(const WindowReport& window, Output out) {
  if (window.causes.empty()) {
    return;
  }
  fmt::format_to(out,
                 "<div><h3>Causes of burn over {}</h3><table><tr><th>objective"
                 "</th><th class='left'>cause</th><th class='left'>detail</th>"
                 "<th>requests</th><th>share of bad</th></tr>",
                 DescribeWindow(window.length));
  for (const CauseCount& cause : window.causes) {
    fmt::format_to(out,
                   "<tr><td>{}</td><td class='left'>{}</td><td class='left'>{}"
                   "</td><td>{}</td><td>{:.1f} %</td></tr>",
                   ToString(cause.cause.objective), ToString(cause.cause.kind),
                   EscapeHtml(cause.cause.detail), cause.requests,
                   cause.share.value * 100);
  }
  fmt::format_to(out, "</table></div>");
}

template <typename Value>
PlotLine Line(const std::string& label,
              const std::string& css_class,
              const std::vector<SeriesPoint>& points,
              const Value& value) {
  PlotLine line{label, css_class, {}};
  for (const SeriesPoint& point : points) {
    // Negative values mean no answers; there is no latency to plot.
    if (const double v = value(point.counts); v >= 0) {
      line.points.emplace_back(point.minute, v);
    }
  }
  return line;
}

double LatencyOrNone(Duration latency) {
  return latency.count() > 0 ? Milliseconds(latency) : -1;
}

Plot LatencyPlot(const TeamReport& team,
                 const std::vector<SeriesPoint>& points) {
  Plot plot;
  plot.unit = " ms";
  plot.min_value = 1;
  plot.limits = {
      {"objective", Milliseconds(team.objectives.latency_objective)}};
  plot.lines = {Line("p50", "a", points,
                     [](const auto& w) { return LatencyOrNone(w.p50); }),
                Line("p99", "b", points,
                     [](const auto& w) { return LatencyOrNone(w.p99); }),
                Line("p99.9", "c", points,
                     [](const auto& w) { return LatencyOrNone(w.p999); })};
  return plot;
}

Plot BurnPlot(const std::vector<SeriesPoint>& points) {
  Plot plot;
  plot.min_value = 0.01;
  plot.limits = {{"page", config::kPageBurnRate},
                 {"ticket", config::kTicketBurnRate}};
  plot.lines = {Line("latency", "b", points,
                     [](const auto& w) { return w.latency_burn; }),
                Line("coverage", "a", points,
                     [](const auto& w) { return w.coverage_burn; })};
  return plot;
}

void RenderPlots(const BurnReport& report, const TeamReport& team, Output out) {
  const int64_t until = std::chrono::duration_cast<std::chrono::minutes>(
                            report.counts_until.since_unix_epoch)
                            .count();
  fmt::format_to(out, "<div class='plots'>");
  const auto render = [&](Plot plot, const std::string& title,
                          ReportWindow window, int64_t step) {
    plot.title = title + ", " + DescribeWindow(kReportWindows.at(window));
    plot.until_minute = until;
    plot.from_minute = until - std::chrono::duration_cast<std::chrono::minutes>(
                                   kReportWindows.at(window))
                                   .count();
    plot.step_minutes = step;
    fmt::format_to(out, "{}", RenderPlot(plot));
  };
  render(LatencyPlot(team, team.six_hours), "Latency", kSixHours, 5);
  render(BurnPlot(team.six_hours), "Burn rate", kSixHours, 5);
  render(LatencyPlot(team, team.three_days), "Latency", kThreeDays, 60);
  render(BurnPlot(team.three_days), "Burn rate", kThreeDays, 60);
  fmt::format_to(out, "</div>");
}

void RenderTeam(const BurnReport& report, const TeamReport& team, Output out) {
  fmt::format_to(out, "<h2>{}</h2><p>{}; {}</p>", EscapeHtml(team.team.value()),
                 DescribeObjective(BurnObjective::kLatency, team.objectives),
                 DescribeObjective(BurnObjective::kCoverage, team.objectives));
  for (const BurnAlert& alert : team.alerts) {
    const bool page = alert.level == AlertLevel::kPage;
    fmt::format_to(
        out,
        "<div class='alert {0}'><b>{0}</b>: {1} budget burns above {2:g} "
        "over both {3} and {4}</div>",
        ToString(alert.level), ToString(alert.objective),
        page ? config::kPageBurnRate : config::kTicketBurnRate,
        DescribeWindow(kReportWindows.at(page ? kFiveMinutes : kSixHours)),
        DescribeWindow(kReportWindows.at(page ? kOneHour : kThreeDays)));
  }
  RenderWindows(team, out);
  fmt::format_to(out,
                 "<p>Budget left of 3 d: latency {:.1f} %, coverage "
                 "{:.1f} %</p>",
                 team.latency_budget_left * 100,
                 team.coverage_budget_left * 100);
  RenderPlots(report, team, out);
  fmt::format_to(out, "<div class='causes'>");
  RenderCauses(team.windows.at(kOneHour), out);
  RenderCauses(team.windows.at(kThreeDays), out);
  fmt::format_to(out, "</div>");
}

}  // namespace

std::string FormatReportHtml(const BurnReport& report) {
  std::string html = kHead;
  const Output out = std::back_inserter(html);
  fmt::format_to(out, "<h1>Burn report</h1><p>Made {}; {}.</p>",
                 DescribeTime(report.generated),
                 report.teams.empty()
                     ? "no counts"
                     : "windows end at " + DescribeTime(report.counts_until));
  for (const std::string& problem : report.problems) {
    fmt::format_to(out, "<div class='alert page'>{}</div>",
                   EscapeHtml(problem));
  }
  fmt::format_to(out,
                 "<table><tr><th>data centre</th><th>newest counts</th>"
                 "<th>late buckets refused</th></tr>");
  for (const DataCentreReport& data_centre : report.data_centres) {
    fmt::format_to(
        out, "<tr><td>{}</td><td{}>{} min ago</td><td>{}</td></tr>",
        EscapeHtml(data_centre.data_centre.value()),
        IsStale(data_centre) ? " class='over'" : "",
        std::chrono::duration_cast<std::chrono::minutes>(data_centre.age)
            .count(),
        data_centre.refused_buckets);
  }
  fmt::format_to(out, "</table>");
  for (const TeamReport& team : report.teams) {
    RenderTeam(report, team, out);
  }
  html += "</body></html>\n";
  return html;
}

}  // namespace wasabihook
