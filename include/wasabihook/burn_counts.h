#ifndef WASABIHOOK_BURN_COUNTS_H_
#define WASABIHOOK_BURN_COUNTS_H_

// Request counts for the service-level objectives of a team, which can be
// merged across instances and time intervals.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Latency histogram with fixed log-linear buckets: eight per power of two of
// microseconds, so a quantile is at most 12.5 % too high. Merging is exact,
// because all histograms have the same bucket bounds.
class BurnHistogram {
 public:
  struct Bucket {
    uint16_t index = 0;
    uint64_t count = 0;
    friend bool operator==(const Bucket&, const Bucket&) = default;
  };

  static uint16_t IndexOf(Duration latency);
  // Exclusive upper bound of the latencies in a bucket.
  static Duration UpperBound(uint16_t index);

  void Record(Duration latency);
  // Adds `count` to the bucket at `index`. Throws std::out_of_range if there is
  // no such bucket.
  void Add(uint16_t index, uint64_t count);
  void Merge(const BurnHistogram& other);

  uint64_t count() const;
  // Upper bound of the bucket that holds the quantile; 0 if empty.
  Duration Quantile(Fraction quantile) const;
  // Non-empty buckets, sorted by index.
  const std::vector<Bucket>& buckets() const { return m_buckets; }

  friend bool operator==(const BurnHistogram&, const BurnHistogram&) = default;

 private:
  std::vector<Bucket> m_buckets;
};

enum class BurnObjective : uint8_t { kLatency, kCoverage };

enum class BurnCauseKind : uint8_t {
  kStraggler,     // Detail: the slowest server of the request.
  kMissingGroup,  // Detail: the shard group missing from the answer.
  kRefused,       // Detail: the error code.
  kQuarantine,
  kError,  // Detail: the error code.
  kOther,  // Unattributed requests, and causes beyond the limit of a cell.
};

std::string ToString(BurnObjective objective);
std::string ToString(BurnCauseKind kind);

// Why a request consumed error budget of an objective.
struct BurnCause {
  BurnObjective objective = BurnObjective::kLatency;
  BurnCauseKind kind = BurnCauseKind::kOther;
  std::string detail;
  friend auto operator<=>(const BurnCause&, const BurnCause&) = default;
};

// Counts of one team over one time interval.
struct BurnCell {
  uint64_t requests = 0;
  // Answered later than the objective, or not at all.
  uint64_t latency_bad = 0;
  // Answered incompletely, or not at all.
  uint64_t coverage_bad = 0;
  BurnHistogram latency;
  // Number of bad requests by cause. A request with several missing groups
  // counts once for each.
  std::map<BurnCause, uint64_t> causes;

  // Keeps the most frequent causes and adds up the rest as kOther.
  void Merge(const BurnCell& other);
  friend bool operator==(const BurnCell&, const BurnCell&) = default;
};

// Objectives of a team at the time of counting.
struct BurnObjectives {
  Duration latency_objective = config::kLatencyObjective;
  Fraction latency_target = config::kLatencyTarget;
  Fraction coverage_target = config::kCoverageTarget;
  friend bool operator==(const BurnObjectives&,
                         const BurnObjectives&) = default;
};

struct TeamBurn {
  TeamId team;
  BurnObjectives objectives;
  BurnCell cell;
};

// Counts of one instance over one minute. Immutable once it has a sequence
// number.
struct BurnBucket {
  // Starts at 1 in each incarnation and increases by one.
  uint64_t sequence = 0;
  int64_t minute = 0;  // Minutes since the Unix epoch, wall-clock time.
  std::vector<TeamBurn> teams;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_BURN_COUNTS_H_
