// Metrics that are read from the parts at each scrape.

#include <string>
#include <utility>
#include <vector>

#include "runtime/daemon.h"

namespace wasabihook {
namespace {

using Samples = std::vector<MetricSample>;

Samples One(double value) {
  return {{{}, value}};
}

// One sample for each name, in the label `label`.
Samples Named(const std::string& label,
              const std::vector<std::pair<std::string, uint64_t>>& values) {
  Samples samples;
  for (const auto& [name, value] : values)
    samples.push_back({{{label, name}}, static_cast<double>(value)});
  return samples;
}

Samples BackendEvents(const BackendTransportStats& stats) {
  uint64_t invalid = 0;
  for (const uint64_t count : stats.invalid)
    invalid += count;
  return Named("event", {{"opened", stats.opened},
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

Samples DroppedByReason(const DroppedReplies& dropped) {
  return Named("reason", {{"late", dropped.late},
                          {"duplicate", dropped.duplicate},
                          {"foreign", dropped.foreign},
                          {"invalid", dropped.invalid}});
}

}  // namespace

void Daemon::AddSampledMetrics() {
  Metrics& metrics = m_parts.metrics;
  metrics.AddSampled(
      "wasabihook_requests_in_flight", "Requests that wait for their answer",
      SampleKind::kGauge,
      [this] { return One(static_cast<double>(m_parts.tier->in_flight())); });
  metrics.AddSampled(
      "wasabihook_settings_revision", "Revision in force by subtree",
      SampleKind::kGauge, [this] {
        std::vector<std::pair<std::string, uint64_t>> values;
        for (const auto& status : m_parts.settings.Status())
          values.emplace_back(status.subtree, status.in_force.value());
        return Named("subtree", values);
      });
  metrics.AddSampled("wasabihook_ready", "1 if ready, else 0",
                     SampleKind::kGauge,
                     [this] { return One(ready() ? 1.0 : 0.0); });
  metrics.AddSampled("wasabihook_instances_live", "Live instances known",
                     SampleKind::kGauge,
                     [this] { return One(m_parts.membership->Counts().live); });
  metrics.AddSampled(
      "wasabihook_backend_connections", "Open connections to backend servers",
      SampleKind::kGauge, [this] {
        return One(static_cast<double>(m_parts.transport.Stats().open));
      });
  metrics.AddSampled(
      "wasabihook_backend_events_total",
      "Connections and sub-requests of the backend transport by event",
      SampleKind::kCounter,
      [this] { return BackendEvents(m_parts.transport.Stats()); });
  metrics.AddSampled(
      "wasabihook_dropped_replies_total",
      "Replies of backend servers that were dropped", SampleKind::kCounter,
      [this] { return DroppedByReason(m_parts.tier->dropped_replies()); });
}

}  // namespace wasabihook
