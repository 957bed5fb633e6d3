#include <nlohmann/json.hpp>

#include "decision/burn/report.h"

namespace wasabihook {
namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const WindowReport& window) {
  Json causes = Json::array();
  for (const CauseCount& cause : window.causes) {
    causes.push_back({{"objective", ToString(cause.cause.objective)},
                      {"kind", ToString(cause.cause.kind)},
                      {"detail", cause.cause.detail},
                      {"requests", cause.requests},
                      {"share", cause.share.value}});
  }
  return {{"window", DescribeWindow(window.length)},
          {"requests", window.requests},
          {"latency_bad", window.latency_bad},
          {"latency_burn_rate", window.latency_burn},
          {"coverage_bad", window.coverage_bad},
          {"coverage_burn_rate", window.coverage_burn},
          {"p50_us", window.p50.count()},
          {"p99_us", window.p99.count()},
          {"p999_us", window.p999.count()},
          {"causes", std::move(causes)}};
}

Json ToJson(const std::vector<SeriesPoint>& points) {
  Json series = Json::array();
  for (const SeriesPoint& point : points) {
    series.push_back({{"start_unix_s", point.minute * 60},
                      {"minutes", point.width},
                      {"requests", point.counts.requests},
                      {"latency_burn_rate", point.counts.latency_burn},
                      {"coverage_burn_rate", point.counts.coverage_burn},
                      {"p50_us", point.counts.p50.count()},
                      {"p99_us", point.counts.p99.count()},
                      {"p999_us", point.counts.p999.count()}});
  }
  return series;
}

Json ToJson(const TeamReport& team) {
  Json windows = Json::array();
  for (const WindowReport& window : team.windows) {
    windows.push_back(ToJson(window));
  }
  Json alerts = Json::array();
  for (const BurnAlert& alert : team.alerts) {
    alerts.push_back({{"level", ToString(alert.level)},
                      {"objective", ToString(alert.objective)}});
  }
  return {{"team", team.team.value()},
          {"latency_objective_us", team.objectives.latency_objective.count()},
          {"latency_target", team.objectives.latency_target.value},
          {"coverage_target", team.objectives.coverage_target.value},
          {"alerts", std::move(alerts)},
          {"latency_budget_left", team.latency_budget_left},
          {"coverage_budget_left", team.coverage_budget_left},
          {"windows", std::move(windows)},
          {"six_hours", ToJson(team.six_hours)},
          {"three_days", ToJson(team.three_days)}};
}

}  // namespace

std::string FormatReportJson(const BurnReport& report) {
  Json data_centres = Json::array();
  for (const DataCentreReport& data_centre : report.data_centres) {
    data_centres.push_back({{"data_centre", data_centre.data_centre.value()},
                            {"age_ms", data_centre.age.count() / 1000},
                            {"stale", IsStale(data_centre)},
                            {"refused_buckets", data_centre.refused_buckets}});
  }
  Json teams = Json::array();
  for (const TeamReport& team : report.teams) {
    teams.push_back(ToJson(team));
  }
  return Json{{"generated_unix_ms", report.generated.since_unix_epoch.count()},
              {"counts_until_unix_ms",
               report.counts_until.since_unix_epoch.count()},
              {"problems", report.problems},
              {"data_centres", std::move(data_centres)},
              {"teams", std::move(teams)}}
             .dump(2) +
         "\n";
}

}  // namespace wasabihook
