#ifndef SRC_DECISION_BURN_BURN_LEDGER_H_
#define SRC_DECISION_BURN_BURN_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>

#include "wasabihook/burn_counts.h"
#include "wasabihook/ids.h"

namespace wasabihook {

// One life of one instance.
struct BurnSource {
  InstanceId instance;
  Incarnation incarnation;
  friend auto operator<=>(const BurnSource&, const BurnSource&) = default;
};

// How far the buckets of a source have been folded in.
struct BurnWatermark {
  uint64_t sequence = 0;
  // Latest minute of any folded bucket.
  int64_t newest_minute = 0;
  friend bool operator==(const BurnWatermark&, const BurnWatermark&) = default;
};

// Stretch of time that a cell counts, in minutes since the Unix epoch.
struct BurnSpan {
  int64_t start = 0;
  int32_t width = 1;  // 1, 5 or 60.
  friend auto operator<=>(const BurnSpan&, const BurnSpan&) = default;
};

struct TeamLedger {
  BurnObjectives objectives;
  std::map<BurnSpan, BurnCell> cells;
  friend bool operator==(const TeamLedger&, const TeamLedger&) = default;
};

// Rolling counts of one data centre: the value that the aggregator stores in
// the platform. Counts and watermarks change together in one compare-and-swap,
// so each bucket is counted at most once, whoever folds it and how often.
class BurnLedger {
 public:
  // Adds a bucket unless it was folded before. Returns false if it was, or if
  // it is too old to tell. `now_minute` bounds the minute of a bucket from an
  // instance whose clock is ahead.
  bool Fold(const BurnSource& source,
            const BurnBucket& bucket,
            int64_t now_minute);

  // Merges cells into coarser ones as they age, and drops what is too old.
  void Compact(int64_t now_minute);

  // Drops histograms and causes of cells at least `width` minutes wide, so that
  // the value fits; the counts stay.
  void DropDetail(int32_t width);

  // Sequence up to which the buckets of a source are counted; 0 if none is.
  uint64_t FoldedUpTo(const BurnSource& source) const;

  std::map<BurnSource, BurnWatermark> watermarks;
  // Sources without a watermark may not add minutes up to this one: their
  // watermark may have been dropped.
  int64_t horizon_minute = 0;
  // Latest minute that holds counts.
  int64_t newest_minute = 0;
  // Buckets that were too old to be counted.
  uint64_t refused_buckets = 0;
  std::map<TeamId, TeamLedger> teams;

  friend bool operator==(const BurnLedger&, const BurnLedger&) = default;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_LEDGER_H_
