#ifndef SRC_DECISION_BURN_BURN_LEDGER_H_
#define SRC_DECISION_BURN_BURN_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>

#include "wasabihook/burn_counts.h"
#include "wasabihook/ids.h"

namespace wasabihook {

// One incarnation of an instance.
struct BurnSource {
  InstanceId instance;
  Incarnation incarnation;
  friend auto operator<=>(const BurnSource&, const BurnSource&) = default;
};

// Progress up to which the buckets of a source have been folded in.
struct BurnWatermark {
  uint64_t sequence = 0;
  // Latest minute of any folded bucket.
  int64_t newest_minute = 0;
  friend bool operator==(const BurnWatermark&, const BurnWatermark&) = default;
};

// Time interval of a cell, in minutes since the Unix epoch.
struct BurnInterval {
  int64_t start = 0;
  int32_t width = 1;  // 1, 5 or 60.
  friend auto operator<=>(const BurnInterval&, const BurnInterval&) = default;
};

struct TeamLedger {
  BurnObjectives objectives;
  std::map<BurnInterval, BurnCell> cells;
  friend bool operator==(const TeamLedger&, const TeamLedger&) = default;
};

// Recent counts of one data centre, as stored in the platform by the
// aggregator. Counts and watermarks change together in one compare-and-swap, so
// each bucket is counted at most once, regardless of who folds it and how
// often.
class BurnLedger {
 public:
  // Adds the counts of a bucket. Returns false if they were added before, or if
  // the bucket is too old to tell. `now_minute` limits the minute of a bucket
  // from an instance whose clock is ahead.
  bool Fold(const BurnSource& source,
            const BurnBucket& bucket,
            int64_t now_minute);

  // Merges older cells into coarser ones and drops those that are too old.
  void Compact(int64_t now_minute);

  // Drops histograms and causes of cells at least `width` minutes wide to
  // reduce the size of the value. Keeps the counts.
  void DropDetail(int32_t width);

  // Sequence up to which the buckets of a source are counted, or 0.
  uint64_t LastFoldedSequence(const BurnSource& source) const;

  std::map<BurnSource, BurnWatermark> watermarks;
  // Buckets up to this minute are refused from sources without a watermark,
  // because their watermark may have been dropped.
  int64_t horizon_minute = 0;
  // Latest minute that holds counts.
  int64_t newest_minute = 0;
  // Buckets that were refused because of `horizon_minute`.
  uint64_t refused_buckets = 0;
  std::map<TeamId, TeamLedger> teams;

  friend bool operator==(const BurnLedger&, const BurnLedger&) = default;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_LEDGER_H_
