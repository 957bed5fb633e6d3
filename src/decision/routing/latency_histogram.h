#ifndef SRC_DECISION_ROUTING_LATENCY_HISTOGRAM_H_
#define SRC_DECISION_ROUTING_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Histogram of recent latencies with four buckets per octave from 64 us to 67 s
// (quantiles are exact to within 19 %), in which older values fade: all counts
// are halved each time `window` values were added. Not thread-safe.
class LatencyHistogram {
 public:
  explicit LatencyHistogram(uint32_t window) : m_window(window) {}

  void Add(Duration latency);
  // Latency below which a share `quantile` of the values lies (upper edge of
  // its bucket); 0 if there are none.
  Duration Quantile(double quantile) const;
  // Values added since the start.
  uint64_t count() const { return m_count; }

 private:
  static constexpr size_t kBuckets = 80;

  static size_t BucketOf(Duration latency);
  static Duration UpperEdge(size_t bucket);
  void Decay();

  std::array<float, kBuckets> m_weights{};
  float m_total = 0;
  uint32_t m_window;
  uint32_t m_values_since_decay = 0;
  uint64_t m_count = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_LATENCY_HISTOGRAM_H_
