#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace wasabihook::gateway {
namespace {

// Upper bounds in seconds; finest around the latency objectives of routes (40
// to 250 ms).
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.08, 0.12, 0.25, 0.5, 1, 2.5};

template <typename Builder>
auto& Register(Builder builder,
               prometheus::Registry& registry,
               const char* name,
               const char* help) {
  return builder.Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>&
Counters(prometheus::Registry& registry, const char* name, const char* help) {
  return Register(prometheus::BuildCounter(), registry, name, help);
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : m_requests(Counters(m_registry,
                          "wasabihook_gateway_requests_total",
                          "Requests of callers by route and status.")),
      m_request_seconds(Register(prometheus::BuildHistogram(),
                                 m_registry,
                                 "wasabihook_gateway_request_seconds",
                                 "Time from the whole request to its answer.")),
      m_parts(Counters(m_registry,
                       "wasabihook_gateway_parts_total",
                       "Shards asked for merged answers, by result.")),
      m_attempts(Counters(m_registry,
                          "wasabihook_gateway_attempts_total",
                          "Sub-requests by outcome.")),
      m_repeats(Counters(m_registry,
                         "wasabihook_gateway_repeats_total",
                         "Sub-requests beyond the first, by reason.")),
      m_connects(Counters(m_registry,
                          "wasabihook_gateway_connects_total",
                          "Connections to servers, by result.")),
      m_invalid_replies(
          Counters(m_registry,
                   "wasabihook_gateway_invalid_replies_total",
                   "Bytes that are no reply to their request, by fault.")),
      m_quarantine(Counters(m_registry,
                            "wasabihook_gateway_quarantine_total",
                            "Requests that crash servers, by event.")),
      m_server_entries(Counters(m_registry,
                                "wasabihook_gateway_server_entries_total",
                                "Entries of servers that are not applied.")),
      m_crash_alert(
          Counters(m_registry,
                   "wasabihook_gateway_crash_alert_total",
                   "Queries while servers of several services end, by event.")),
      m_rejected(Counters(m_registry,
                          "wasabihook_gateway_rejected_requests_total",
                          "Requests rejected before they are started.")),
      m_allowances(
          Counters(m_registry,
                   "wasabihook_gateway_allowance_total",
                   "Decisions on allowances of teams, and calls, by event.")),
      m_drain(
          Counters(m_registry,
                   "wasabihook_gateway_drain_requests_total",
                   "Requests that arrive during a planned stop, by event.")),
      m_leaving(Counters(m_registry,
                         "wasabihook_gateway_servers_leaving_total",
                         "Servers that say they leave, by event.")),
      m_pauses(Counters(m_registry,
                        "wasabihook_gateway_server_pauses_total",
                        "Pauses that servers ask for, by event.")),
      m_limits(Counters(m_registry,
                        "wasabihook_gateway_server_limits_total",
                        "Limits that servers name, by event.")),
      m_store_calls(Counters(m_registry,
                             "wasabihook_gateway_store_calls_total",
                             "Calls to the store, by call and result.")),
      m_state(Register(prometheus::BuildGauge(),
                       m_registry,
                       "wasabihook_gateway_state",
                       "Present state, by kind.")) {}

prometheus::Counter& GatewayMetrics::CounterOf(
    prometheus::Family<prometheus::Counter>& family,
    const std::string& label,
    const std::string& value) {
  return family.Add({{label, value}});
}

void GatewayMetrics::CountRequest(const std::string& route,
                                  int status,
                                  Duration latency) {
  m_requests.Add({{"route", route}, {"status", std::to_string(status)}})
      .Increment();
  prometheus::Histogram*& histogram = m_route_histograms[route];
  if (histogram == nullptr)
    histogram = &m_request_seconds.Add({{"route", route}}, kLatencyBounds);
  histogram->Observe(static_cast<double>(latency.count()) / 1e6);
}

void GatewayMetrics::CountParts(uint64_t answered, uint64_t missing) {
  CounterOf(m_parts, "result", "answered")
      .Increment(static_cast<double>(answered));
  CounterOf(m_parts, "result", "missing")
      .Increment(static_cast<double>(missing));
}

void GatewayMetrics::CountAttempt(const char* outcome) {
  CounterOf(m_attempts, "outcome", outcome).Increment();
}

void GatewayMetrics::CountRepeat(const char* reason) {
  CounterOf(m_repeats, "reason", reason).Increment();
}

void GatewayMetrics::CountConnect(bool failed) {
  CounterOf(m_connects, "result", failed ? "failed" : "connected").Increment();
}

void GatewayMetrics::CountInvalidReply(const char* fault) {
  CounterOf(m_invalid_replies, "fault", fault).Increment();
}

void GatewayMetrics::CountQuarantine(const char* event) {
  CounterOf(m_quarantine, "event", event).Increment();
}

void GatewayMetrics::CountServerEntry(const char* event) {
  CounterOf(m_server_entries, "event", event).Increment();
}

void GatewayMetrics::CountCrashAlert(const char* event) {
  CounterOf(m_crash_alert, "event", event).Increment();
}

void GatewayMetrics::CountRejected(const char* why) {
  CounterOf(m_rejected, "why", why).Increment();
}

void GatewayMetrics::CountAllowance(const char* event) {
  CounterOf(m_allowances, "event", event).Increment();
}

void GatewayMetrics::CountDrain(const char* event) {
  CounterOf(m_drain, "event", event).Increment();
}

void GatewayMetrics::CountLeaving(const char* event, double count) {
  CounterOf(m_leaving, "event", event).Increment(count);
}

void GatewayMetrics::CountPause(const char* event) {
  CounterOf(m_pauses, "event", event).Increment();
}

void GatewayMetrics::CountLimit(const char* event) {
  CounterOf(m_limits, "event", event).Increment();
}

void GatewayMetrics::SetLimitedServers(size_t count) {
  m_state.Add({{"kind", "servers_limited"}}).Set(static_cast<double>(count));
}

void GatewayMetrics::SetQuarantine(size_t quarantined, size_t suspects) {
  m_state.Add({{"kind", "requests_quarantined"}})
      .Set(static_cast<double>(quarantined));
  m_state.Add({{"kind", "requests_suspect"}})
      .Set(static_cast<double>(suspects));
}

void GatewayMetrics::CountStoreCall(const char* call, const char* result) {
  m_store_calls.Add({{"call", call}, {"result", result}}).Increment();
}

void GatewayMetrics::SetFeedHistoryBytes(size_t bytes) {
  m_state.Add({{"kind", "feed_history_bytes"}}).Set(static_cast<double>(bytes));
}

void GatewayMetrics::SetCallerUse(size_t bytes, uint64_t given_up) {
  m_state.Add({{"kind", "caller_bytes"}}).Set(static_cast<double>(bytes));
  m_state.Add({{"kind", "callers_given_up"}})
      .Set(static_cast<double>(given_up));
}

void GatewayMetrics::SetTeams(size_t configured,
                              size_t asking,
                              size_t ledgers) {
  m_state.Add({{"kind", "teams"}}).Set(static_cast<double>(configured));
  m_state.Add({{"kind", "teams_asking"}}).Set(static_cast<double>(asking));
  m_state.Add({{"kind", "allowance_ledgers"}})
      .Set(static_cast<double>(ledgers));
}

void GatewayMetrics::SetPaces(size_t servers) {
  m_state.Add({{"kind", "paces_known"}}).Set(static_cast<double>(servers));
}

void GatewayMetrics::SetEvacuations(size_t data_centres) {
  m_state.Add({{"kind", "data_centres_evacuated"}})
      .Set(static_cast<double>(data_centres));
}

void GatewayMetrics::SetConfigVersion(uint64_t version) {
  m_state.Add({{"kind", "config_version"}}).Set(static_cast<double>(version));
}

void GatewayMetrics::SetServers(size_t usable, size_t known) {
  m_state.Add({{"kind", "servers_usable"}}).Set(static_cast<double>(usable));
  m_state.Add({{"kind", "servers_known"}}).Set(static_cast<double>(known));
}

void GatewayMetrics::SetServersOfState(const std::string& state, size_t count) {
  m_state.Add({{"kind", "servers_" + state}}).Set(static_cast<double>(count));
}

void GatewayMetrics::SetReady(bool ready) {
  m_state.Add({{"kind", "ready"}}).Set(ready ? 1 : 0);
}

void GatewayMetrics::SetCallerConnections(size_t count) {
  m_state.Add({{"kind", "caller_connections"}}).Set(static_cast<double>(count));
}

void GatewayMetrics::SetLogLinesDropped(uint64_t count) {
  m_state.Add({{"kind", "log_lines_dropped"}}).Set(static_cast<double>(count));
}

std::string GatewayMetrics::Serialise() const {
  return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

}  // namespace wasabihook::gateway
