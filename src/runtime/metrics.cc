#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

#include <chrono>
#include <utility>

namespace wasabihook {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

// Upper bucket bounds in seconds, dense around the latency objective of 82 ms.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.06, 0.082,
    0.1,   0.15,  0.2,   0.5,  1,    2,    5,    10};
const prometheus::Histogram::BucketBoundaries kCoverageBounds = {
    0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999};

prometheus::Family<prometheus::Counter>& RegisterCounter(
    prometheus::Registry& registry,
    const char* name,
    const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& RegisterHistogram(
    prometheus::Registry& registry,
    const char* name,
    const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Unknown team and index set ids are caller input and are not used as label
// values, since their number is unbounded.
prometheus::Labels OutcomeLabels(const RequestOutcome& outcome) {
  const bool unknown_team = outcome.error == ErrorCode::kUnknownTeam ||
                            outcome.error == ErrorCode::kNoSettings;
  const bool unknown_index_set =
      unknown_team || outcome.error == ErrorCode::kUnknownIndexSet;
  return {{"team", unknown_team ? "" : outcome.team.value()},
          {"index_set", unknown_index_set ? "" : outcome.index_set.value()},
          {"kind", ToString(outcome.kind)}};
}

}  // namespace

Metrics::Metrics()
    : m_requests(
          RegisterCounter(m_registry,
                          "wasabihook_requests_total",
                          "Finished requests by result: ok or an error code")),
      m_request_seconds(
          RegisterHistogram(m_registry,
                            "wasabihook_request_seconds",
                            "Time from submission to answer, in seconds")),
      m_answer_coverage(
          RegisterHistogram(m_registry,
                            "wasabihook_answer_coverage",
                            "Share of records covered by answers, 0 to 1")),
      m_incomplete_answers(
          RegisterCounter(m_registry,
                          "wasabihook_incomplete_answers_total",
                          "Answers that miss at least one shard group")),
      m_sub_requests_sent(
          RegisterCounter(m_registry,
                          "wasabihook_sub_requests_total",
                          "Sub-requests sent to backend servers")),
      m_sub_requests_needed(
          RegisterCounter(m_registry,
                          "wasabihook_sub_requests_needed_total",
                          "Least number of sub-requests that could have served "
                          "the requests")),
      m_invalid_requests(
          RegisterCounter(m_registry,
                          "wasabihook_invalid_requests_total",
                          "Requests refused by the listener, by HTTP status")),
      m_platform_call_seconds(
          RegisterHistogram(m_registry,
                            "wasabihook_platform_call_seconds",
                            "Calls to the platform by call and status, in "
                            "seconds")),
      m_claim_events(RegisterCounter(m_registry,
                                     "wasabihook_claim_events_total",
                                     "Events of claims of operations")) {}

void Metrics::RecordOutcome(const RequestOutcome& outcome) {
  const prometheus::Labels labels = OutcomeLabels(outcome);
  prometheus::Labels with_result = labels;
  with_result["result"] = outcome.error ? ToString(*outcome.error) : "ok";
  m_requests.Add(with_result).Increment();
  m_request_seconds.Add(labels, kLatencyBounds)
      .Observe(ToSeconds(outcome.latency));
  m_sub_requests_sent.Add(labels).Increment(outcome.sub_requests_sent);
  m_sub_requests_needed.Add(labels).Increment(outcome.sub_requests_needed);
  if (outcome.error)
    return;
  m_answer_coverage.Add(labels, kCoverageBounds)
      .Observe(outcome.coverage.value);
  if (!outcome.complete)
    m_incomplete_answers.Add(labels).Increment();
}

void Metrics::RecordInvalidRequest(int http_status) {
  m_invalid_requests.Add({{"status", std::to_string(http_status)}}).Increment();
}

void Metrics::RecordPlatformCall(const std::string& call,
                                 const std::string& status,
                                 Duration latency) {
  m_platform_call_seconds
      .Add({{"call", call}, {"status", status}}, kLatencyBounds)
      .Observe(ToSeconds(latency));
}

void Metrics::RecordClaimEvent(const TeamId& team, const std::string& event) {
  m_claim_events.Add({{"team", team.value()}, {"event", event}}).Increment();
}

void Metrics::AddSampledMetric(
    std::string name,
    std::string help,
    SampleKind kind,
    std::function<std::vector<MetricSample>()> read) {
  std::lock_guard lock(m_mutex);
  m_sampled_metrics.push_back(
      {std::move(name), std::move(help), kind, std::move(read)});
}

std::string Metrics::Serialise() const {
  std::vector<MetricFamily> families = m_registry.Collect();
  std::vector<SampledMetric> sampled;
  {
    std::lock_guard lock(m_mutex);
    sampled = m_sampled_metrics;
  }
  for (const SampledMetric& entry : sampled) {
    const bool gauge = entry.kind == SampleKind::kGauge;
    MetricFamily family;
    family.name = entry.name;
    family.help = entry.help;
    family.type = gauge ? MetricType::Gauge : MetricType::Counter;
    for (const MetricSample& sample : entry.read()) {
      ClientMetric metric;
      for (const auto& [name, value] : sample.labels)
        metric.label.push_back({name, value});
      (gauge ? metric.gauge.value : metric.counter.value) = sample.value;
      family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace wasabihook
