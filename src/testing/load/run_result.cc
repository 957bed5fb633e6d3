#include "testing/load/run_result.h"

#include <chrono>

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMs(const Json& ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms.get<double>()));
}

Json ToJson(const RunStatistics& statistics) {
  return {{"requests", statistics.requests},
          {"p50_ms", Ms(statistics.p50)},
          {"p99_ms", Ms(statistics.p99)},
          {"p999_ms", Ms(statistics.p999)},
          {"max_ms", Ms(statistics.max)},
          {"coverage", statistics.coverage},
          {"complete_share", statistics.complete_share},
          {"refused", statistics.refused},
          {"errors", statistics.errors},
          {"refusal_p99_ms", Ms(statistics.refusal_p99)},
          {"deadline_share", statistics.deadline_share},
          {"goodput", statistics.goodput}};
}

RunStatistics StatisticsFromJson(const Json& json) {
  RunStatistics statistics;
  statistics.requests = json.at("requests").get<size_t>();
  statistics.p50 = FromMs(json.at("p50_ms"));
  statistics.p99 = FromMs(json.at("p99_ms"));
  statistics.p999 = FromMs(json.at("p999_ms"));
  statistics.max = FromMs(json.at("max_ms"));
  statistics.coverage = json.at("coverage").get<double>();
  statistics.complete_share = json.at("complete_share").get<double>();
  statistics.refused = json.at("refused").get<size_t>();
  statistics.errors = json.at("errors").get<size_t>();
  statistics.refusal_p99 = FromMs(json.at("refusal_p99_ms"));
  statistics.deadline_share = json.at("deadline_share").get<double>();
  statistics.goodput = json.at("goodput").get<double>();
  return statistics;
}

// Stores one array for each field, which is smaller than an array of objects.
Json SamplesToJson(const std::vector<Sample>& samples) {
  Json at = Json::array();
  Json latency = Json::array();
  Json outcome = Json::array();
  for (const Sample& sample : samples) {
    at.push_back(Ms(sample.at));
    latency.push_back(Ms(sample.latency));
    outcome.push_back(static_cast<int>(sample.outcome));
  }
  return {{"at_ms", at}, {"latency_ms", latency}, {"outcome", outcome}};
}

std::vector<Sample> SamplesFromJson(const Json& json) {
  std::vector<Sample> samples(json.at("at_ms").size());
  for (size_t i = 0; i < samples.size(); ++i) {
    samples[i].at = FromMs(json["at_ms"][i]);
    samples[i].latency = FromMs(json.at("latency_ms").at(i));
    samples[i].outcome =
        static_cast<Outcome>(json.at("outcome").at(i).get<int>());
  }
  return samples;
}

Json ToJson(const BoundValue& value) {
  Json json = {{"measure", value.bound.measure},
               {"at_least", value.bound.at_least},
               {"limit", value.bound.limit},
               {"relative_to", value.bound.relative_to},
               {"value", value.value}};
  if (value.bound.from) {
    json["from_ms"] = Ms(*value.bound.from);
  }
  if (value.bound.to) {
    json["to_ms"] = Ms(*value.bound.to);
  }
  return json;
}

BoundValue BoundFromJson(const Json& json) {
  BoundValue value;
  value.bound.measure = json.at("measure").get<std::string>();
  value.bound.at_least = json.at("at_least").get<bool>();
  value.bound.limit = json.at("limit").get<double>();
  value.bound.relative_to = json.at("relative_to").get<std::string>();
  value.value = json.at("value").get<double>();
  if (json.contains("from_ms")) {
    value.bound.from = FromMs(json["from_ms"]);
  }
  if (json.contains("to_ms")) {
    value.bound.to = FromMs(json["to_ms"]);
  }
  return value;
}

}  // namespace

Json ToJson(const RunResult& result) {
  Json bounds = Json::array();
  for (const BoundValue& bound : result.bounds) {
    bounds.push_back(ToJson(bound));
  }
  Json findings = Json::array();
  for (const Finding& finding : result.findings) {
    findings.push_back({{"kind", ToString(finding.kind)},
                        {"request", finding.request_id},
                        {"detail", finding.detail}});
  }
  return {{"scenario", result.scenario},
          {"title", result.title},
          {"settings", result.settings},
          {"seed", result.seed},
          {"date", result.date},
          {"figures", ToJson(result.statistics)},
          {"extra_load", result.extra_load},
          {"wrong", result.wrong},
          {"runs_checked", result.runs_checked},
          {"busy_machine", result.busy.machine},
          {"busy_own", result.busy.own},
          {"bounds", bounds},
          {"findings", findings},
          {"responses", result.responses},
          {"samples", SamplesToJson(result.samples)}};
}

RunResult ResultFromJson(const Json& json) {
  RunResult result;
  result.scenario = json.at("scenario").get<std::string>();
  result.title = json.at("title").get<std::string>();
  result.settings = json.at("settings").get<std::string>();
  result.seed = json.at("seed").get<uint64_t>();
  result.date = json.at("date").get<std::string>();
  result.statistics = StatisticsFromJson(json.at("figures"));
  result.extra_load = json.at("extra_load").get<double>();
  result.wrong = json.at("wrong").get<size_t>();
  result.runs_checked = json.at("runs_checked").get<size_t>();
  result.busy = {json.at("busy_machine").get<double>(),
                 json.at("busy_own").get<double>()};
  result.responses = json.value("responses", std::map<std::string, size_t>());
  for (const Json& bound : json.at("bounds")) {
    result.bounds.push_back(BoundFromJson(bound));
  }
  result.samples = SamplesFromJson(json.at("samples"));
  return result;
}

}  // namespace wasabihook::load
