#ifndef SRC_DECISION_ROUTING_LATENCY_HISTOGRAM_H_
#define SRC_DECISION_ROUTING_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook {

// Histogram of recent latencies with four buckets per octave from 64 us to 67 s
// (quantiles are exact to within 19 %), with exponential decay: all counts are
// halved each time `window` values have been added. Not thread-safe.
class LatencyHistogram {
 public:
  explicit LatencyHistogram(uint32_t window) : m_window(window) {}

  void Add(Duration latency);
  // Upper edge of the bucket that contains the given quantile, a fraction in
  // [0, 1]; 0 if the histogram is empty.
  Duration Quantile(double quantile) const;
  // Values added since construction.
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
