#include "decision/routing/latency_histogram.h"

#include <algorithm>
#include <bit>

namespace wasabihook {
namespace {

// Values below 2^6 us share the first bucket.
constexpr int kFirstOctave = 6;
constexpr int kStepsPerOctave = 4;

}  // namespace

size_t LatencyHistogram::BucketOf(Duration latency) {
  const auto micros =
      static_cast<uint64_t>(std::max<int64_t>(latency.count(), 1));
  const int octave = static_cast<int>(std::bit_width(micros)) - 1;
  if (octave < kFirstOctave) {
    return 0;
  }
  const uint64_t step = (micros >> (octave - 2)) & 3;
  const auto bucket =
      static_cast<size_t>(octave - kFirstOctave) * kStepsPerOctave + step;
  return std::min(bucket, kBuckets - 1);
}

Duration LatencyHistogram::UpperEdge(size_t bucket) {
  const size_t octave = bucket / kStepsPerOctave + kFirstOctave;
  const size_t step = bucket % kStepsPerOctave;
  return Duration(static_cast<int64_t>((uint64_t{1} << (octave - 2)) *
                                       (kStepsPerOctave + step + 1)));
}

void LatencyHistogram::Add(Duration latency) {
  m_weights.at(BucketOf(latency)) += 1;
  m_total += 1;
  ++m_count;
  if (++m_values_since_decay >= m_window) {
    Decay();
  }
}

void LatencyHistogram::Decay() {
  m_values_since_decay = 0;
  m_total = 0;
  for (float& weight : m_weights) {
    weight /= 2;
    m_total += weight;
  }
}

Duration LatencyHistogram::Quantile(double quantile) const {
  if (m_total <= 0) {
    return Duration(0);
  }
  const float wanted = m_total * static_cast<float>(quantile);
  float seen = 0;
  for (size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += m_weights.at(bucket);
    if (seen >= wanted && seen > 0) {
      return UpperEdge(bucket);
    }
  }
  return UpperEdge(kBuckets - 1);
}

}  // namespace wasabihook
