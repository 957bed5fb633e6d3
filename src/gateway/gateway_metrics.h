#ifndef SRC_GATEWAY_GATEWAY_METRICS_H_
#define SRC_GATEWAY_GATEWAY_METRICS_H_

// PRIVATE HEADER. Prometheus metrics of the gateway. docs/operations.md lists
// their names and units.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

class GatewayMetrics {
 public:
  GatewayMetrics();

  void CountRequest(const std::string& route, int status, Duration latency);
  void CountParts(uint64_t answered, uint64_t missing);
  void CountAttempt(const char* outcome);
  void CountRepeat(const char* reason);
  void CountConnect(bool failed);
  // Bytes of servers that are no reply to their request, by reason.
  void CountInvalidReply(const char* fault);
  // Requests that crash servers, by event.
  void CountQuarantine(const char* event);
  // Entries of servers that are not applied, by reason.
  void CountServerEntry(const char* event);
  // Queries while servers of several services end, by event.
  void CountCrashAlert(const char* event);
  // Requests rejected by their head, or by the allowance of their team.
  void CountRejected(const char* why);
  // Decisions on allowances of teams, and calls for them, by event.
  void CountAllowance(const char* event);
  // Requests that arrive during a planned stop, by event.
  void CountDrain(const char* event);
  // Servers that say they leave, by how it became known.
  void CountLeaving(const char* event, double count = 1);
  // Pauses that servers ask for, by event.
  void CountPause(const char* event);
  // Limits that servers name, by event.
  void CountLimit(const char* event);
  void SetLimitedServers(size_t count);
  void SetQuarantine(size_t quarantined, size_t suspects);
  void CountStoreCall(const char* call, const char* result);
  // Keys and values that are kept for other instances.
  void SetFeedHistoryBytes(size_t bytes);
  void SetConfigVersion(uint64_t version);
  void SetServers(size_t usable, size_t known);
  void SetServersOfState(const std::string& state, size_t count);
  // What callers hold together, and the members given up for it so far.
  void SetCallerUse(size_t bytes, uint64_t given_up);
  // Teams of the configuration, teams with demand, and ledgers kept here.
  void SetTeams(size_t configured, size_t asking, size_t ledgers);
  // Servers whose pace the fleet has told, and evacuated data centres.
  void SetPaces(size_t servers);
  void SetEvacuations(size_t data_centres);
  void SetReady(bool ready);
  void SetCallerConnections(size_t count);
  void SetLogLinesDropped(uint64_t count);

  // Text exposition format.
  std::string Serialise() const;

 private:
  prometheus::Counter& CounterOf(
      prometheus::Family<prometheus::Counter>& family,
      const std::string& label,
      const std::string& value);

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Histogram>& m_request_seconds;
  prometheus::Family<prometheus::Counter>& m_parts;
  prometheus::Family<prometheus::Counter>& m_attempts;
  prometheus::Family<prometheus::Counter>& m_repeats;
  prometheus::Family<prometheus::Counter>& m_connects;
  prometheus::Family<prometheus::Counter>& m_invalid_replies;
  prometheus::Family<prometheus::Counter>& m_quarantine;
  prometheus::Family<prometheus::Counter>& m_server_entries;
  prometheus::Family<prometheus::Counter>& m_crash_alert;
  prometheus::Family<prometheus::Counter>& m_rejected;
  prometheus::Family<prometheus::Counter>& m_allowances;
  prometheus::Family<prometheus::Counter>& m_drain;
  prometheus::Family<prometheus::Counter>& m_leaving;
  prometheus::Family<prometheus::Counter>& m_pauses;
  prometheus::Family<prometheus::Counter>& m_limits;
  prometheus::Family<prometheus::Counter>& m_store_calls;
  prometheus::Family<prometheus::Gauge>& m_state;
  std::map<std::string, prometheus::Histogram*> m_route_histograms;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_METRICS_H_
