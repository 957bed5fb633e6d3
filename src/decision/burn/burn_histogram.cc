#include <algorithm>
#include <bit>
#include <cmath>
#include <stdexcept>

#include "wasabihook/burn_counts.h"

namespace wasabihook {
namespace {

// Same bucket layout as HdrHistogram with 3 significant bits. Debian has no C++
// package of that library.
constexpr int kSubBucketBits = 3;
constexpr uint64_t kSubBuckets = 1 << kSubBucketBits;
// 134 s; longer latencies are counted in the last bucket.
constexpr uint64_t kLargestMicroseconds = (uint64_t{1} << 27) - 1;

}  // namespace

uint16_t BurnHistogram::IndexOf(Duration latency) {
  const auto raw = static_cast<uint64_t>(std::max<int64_t>(latency.count(), 0));
  const uint64_t value = std::min(raw, kLargestMicroseconds);
  if (value < kSubBuckets) {
    return static_cast<uint16_t>(value);
  }
  const auto shift =
      static_cast<int>(std::bit_width(value)) - 1 - kSubBucketBits;
  const uint64_t sub = (value >> shift) & (kSubBuckets - 1);
  return static_cast<uint16_t>((shift + 1) * kSubBuckets + sub);
}

Duration BurnHistogram::UpperBound(uint16_t index) {
  if (index < kSubBuckets) {
    return Duration(index + 1);
  }
  const auto shift = index / kSubBuckets - 1;
  const uint64_t sub = index % kSubBuckets;
  return Duration((kSubBuckets + sub + 1) << shift);
}

void BurnHistogram::Record(Duration latency) {
  Add(IndexOf(latency), 1);
}

void BurnHistogram::Add(uint16_t index, uint64_t count) {
  if (index > IndexOf(Duration::max())) {
    throw std::out_of_range("latency bucket out of range");
  }
  auto it = std::lower_bound(
      m_buckets.begin(), m_buckets.end(), index,
      [](const Bucket& bucket, uint16_t i) { return bucket.index < i; });
  if (it == m_buckets.end() || it->index != index) {
    it = m_buckets.insert(it, Bucket{index, 0});
  }
  it->count += count;
}

void BurnHistogram::Merge(const BurnHistogram& other) {
  for (const Bucket& bucket : other.m_buckets) {
    Add(bucket.index, bucket.count);
  }
}

uint64_t BurnHistogram::count() const {
  uint64_t sum = 0;
  for (const Bucket& bucket : m_buckets) {
    sum += bucket.count;
  }
  return sum;
}

Duration BurnHistogram::Quantile(Fraction quantile) const {
  const auto rank = static_cast<uint64_t>(
      std::ceil(quantile.value * static_cast<double>(count())));
  uint64_t seen = 0;
  for (const Bucket& bucket : m_buckets) {
    seen += bucket.count;
    if (seen >= rank) {
      return UpperBound(bucket.index);
    }
  }
  return Duration(0);
}

}  // namespace wasabihook
