#include "testing/load/run_statistics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "testing/load/quantiles.h"

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

void ReadAnswer(const std::string& text, Sample* sample) {
  const Json body = Json::parse(text);
  const Json& coverage = body.at("coverage");
  const auto asked = coverage.at("records_asked").get<double>();
  const auto covered = coverage.at("records_covered").get<double>();
  sample->groups = coverage.at("groups_asked").get<uint32_t>();
  sample->coverage = asked > 0 ? covered / asked : 1;
  sample->outcome = coverage.at("complete").get<bool>() ? Outcome::kComplete
                                                        : Outcome::kPartial;
}

}  // namespace

Sample ToSample(const LoadRequest& request,
                const Response& response,
                Duration warm_up) {
  Sample sample;
  sample.stream = request.stream;
  sample.at = request.at - warm_up;
  sample.latency = response.done - request.at;
  sample.deadline = request.deadline;
  try {
    if (response.status == 200) {
      ReadAnswer(response.body, &sample);
    } else if (response.status != 0 &&
               Json::parse(response.body).at("run_state") == "not_run") {
      sample.outcome = Outcome::kRefused;
    }
  } catch (const Json::exception&) {
    sample.outcome = Outcome::kError;
  }
  return sample;
}

std::string ResponseLabel(const Response& response) {
  if (response.status == 0) {
    return "no response: " + response.failure;
  }
  const Json body = Json::parse(response.body, nullptr, false);
  std::string kind = std::to_string(response.status);
  if (body.is_object() && body.contains("error")) {
    kind += " " + body["error"].dump();
  }
  return kind;
}

RunStatistics ComputeStatistics(const std::vector<Sample>& samples,
                                Duration from,
                                Duration to) {
  RunStatistics statistics;
  std::vector<Duration> latencies;
  std::vector<Duration> refusals;
  size_t complete = 0;
  size_t answers = 0;
  for (const Sample& sample : samples) {
    if (sample.at < from || sample.at >= to) {
      continue;
    }
    ++statistics.requests;
    statistics.deadline_share = std::max(
        statistics.deadline_share,
        static_cast<double>(sample.latency.count()) /
            static_cast<double>(std::max<int64_t>(1, sample.deadline.count())));
    if (sample.outcome == Outcome::kRefused) {
      refusals.push_back(sample.latency);
      continue;
    }
    latencies.push_back(sample.latency);
    if (sample.outcome == Outcome::kError) {
      ++statistics.errors;
      continue;
    }
    ++answers;
    statistics.coverage += sample.coverage;
    complete += sample.outcome == Outcome::kComplete ? 1 : 0;
  }
  statistics.refused = refusals.size();
  statistics.p50 = Quantile(latencies, 0.5);
  statistics.p99 = Quantile(latencies, 0.99);
  statistics.p999 = Quantile(latencies, 0.999);
  statistics.max = Quantile(std::move(latencies), 1);
  statistics.refusal_p99 = Quantile(std::move(refusals), 0.99);
  if (answers > 0) {
    statistics.coverage /= static_cast<double>(answers);
  }
  if (statistics.requests > 0) {
    statistics.complete_share = static_cast<double>(complete) /
                                static_cast<double>(statistics.requests);
  }
  if (to > from) {
    statistics.goodput = static_cast<double>(complete) * 1e6 /
                         static_cast<double>((to - from).count());
  }
  return statistics;
}

}  // namespace wasabihook::load
