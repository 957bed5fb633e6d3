#ifndef SRC_RUNTIME_METRICS_H_
#define SRC_RUNTIME_METRICS_H_

// PRIVATE HEADER. Prometheus metrics of a daemon, based on prometheus-cpp;
// docs/operations.md lists names and units.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "wasabihook/query_tier.h"

namespace wasabihook {

// Labels and value of one sample taken during a scrape.
struct MetricSample {
  prometheus::Labels labels;
  double value = 0;
};

enum class SampleKind : uint8_t { kGauge, kCounter };

// Registry of all metrics. Thread-safe.
class Metrics {
 public:
  // Content type of the text that Serialise() returns.
  static constexpr char kContentType[] =
      "text/plain; version=0.0.4; charset=utf-8";

  Metrics();

  // Counts one finished request.
  void RecordOutcome(const RequestOutcome& outcome);
  // Counts a request that was rejected before it reached the tier.
  void RecordInvalidRequest(int http_status);
  // Records the latency of a finished call to the platform.
  void RecordPlatformCall(const std::string& call,
                          const std::string& status,
                          Duration latency);
  // Counts an event of an operation's claim.
  void RecordClaimEvent(const TeamId& team, const std::string& event);
  // Adds a metric whose samples are read at each scrape. `read` must be
  // thread-safe and remain valid as long as Serialise() may be called.
  void AddSampledMetric(std::string name,
                        std::string help,
                        SampleKind kind,
                        std::function<std::vector<MetricSample>()> read);
  // Returns all metrics in the Prometheus text exposition format.
  std::string Serialise() const;

 private:
  struct SampledMetric {
    std::string name;
    std::string help;
    SampleKind kind = SampleKind::kGauge;
    std::function<std::vector<MetricSample>()> read;
  };

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_requests;
  prometheus::Family<prometheus::Histogram>& m_request_seconds;
  prometheus::Family<prometheus::Histogram>& m_answer_coverage;
  prometheus::Family<prometheus::Counter>& m_incomplete_answers;
  prometheus::Family<prometheus::Counter>& m_sub_requests_sent;
  prometheus::Family<prometheus::Counter>& m_sub_requests_needed;
  prometheus::Family<prometheus::Counter>& m_invalid_requests;
  prometheus::Family<prometheus::Histogram>& m_platform_call_seconds;
  prometheus::Family<prometheus::Counter>& m_claim_events;
  mutable std::mutex m_mutex;
  std::vector<SampledMetric> m_sampled_metrics;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_METRICS_H_
