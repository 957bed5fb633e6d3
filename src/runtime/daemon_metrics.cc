// Metrics that are sampled from the components at each scrape.

#include <string>
#include <utility>
#include <vector>

#include "runtime/daemon.h"

namespace wasabihook {
namespace {

using Samples = std::vector<MetricSample>;

Samples UnlabelledSample(double value) {
  return {{{}, value}};
}

// One sample per pair, with the name as the value of `label`.
Samples LabelledSamples(
    const std::string& label,
    const std::vector<std::pair<std::string, uint64_t>>& values) {
  Samples samples;
  for (const auto& [name, value] : values)
    samples.push_back({{{label, name}}, static_cast<double>(value)});
  return samples;
}

Samples BackendEventSamples(const BackendTransportStats& stats) {
  uint64_t invalid = 0;
  for (const uint64_t count : stats.invalid)
    invalid += count;
  return LabelledSamples("event",
                         {{"opened", stats.opened},
                          {"reused", stats.reused},
                          {"connect_failed", stats.connect_failed},
                          {"refused_for_limit", stats.refused_for_limit},
                          {"closed_as_suspect", stats.closed_as_suspect},
                          {"closed_by_server", stats.closed_by_server},
                          {"moved", stats.moved},
                          {"timed_out", stats.timed_out},
                          {"cancelled", stats.cancelled},
                          {"invalid_reply", invalid}});
}

Samples DroppedReplySamples(const DroppedReplies& dropped) {
  return LabelledSamples("reason", {{"late", dropped.late},
                                    {"duplicate", dropped.duplicate},
                                    {"foreign", dropped.foreign},
                                    {"invalid", dropped.invalid}});
}

}  // namespace

void Daemon::AddSampledMetrics() {
  Metrics& metrics = m_components.metrics;
  metrics.AddSampledMetric(
      "wasabihook_requests_in_flight", "Requests that wait for their answer",
      SampleKind::kGauge, [this] {
        return UnlabelledSample(
            static_cast<double>(m_components.tier->in_flight()));
      });
  metrics.AddSampledMetric(
      "wasabihook_settings_revision", "Revision in force by subtree",
      SampleKind::kGauge, [this] {
        std::vector<std::pair<std::string, uint64_t>> values;
        for (const auto& status : m_components.settings.Status())
          values.emplace_back(status.subtree, status.in_force.value());
        return LabelledSamples("subtree", values);
      });
  metrics.AddSampledMetric(
      "wasabihook_ready", "1 if ready, else 0", SampleKind::kGauge,
      [this] { return UnlabelledSample(ready() ? 1.0 : 0.0); });
  metrics.AddSampledMetric(
      "wasabihook_instances_live", "Live instances known", SampleKind::kGauge,
      [this] {
        return UnlabelledSample(m_components.membership->Counts().live);
      });
  metrics.AddSampledMetric(
      "wasabihook_backend_connections", "Open connections to backend servers",
      SampleKind::kGauge, [this] {
        return UnlabelledSample(
            static_cast<double>(m_components.transport.Stats().open));
      });
  metrics.AddSampledMetric(
      "wasabihook_backend_events_total",
      "Connections and sub-requests of the backend transport by event",
      SampleKind::kCounter,
      [this] { return BackendEventSamples(m_components.transport.Stats()); });
  metrics.AddSampledMetric(
      "wasabihook_dropped_replies_total",
      "Replies of backend servers that were dropped", SampleKind::kCounter,
      [this] {
        return DroppedReplySamples(m_components.tier->dropped_replies());
      });
}

}  // namespace wasabihook
