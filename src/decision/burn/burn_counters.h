#ifndef SRC_DECISION_BURN_BURN_COUNTERS_H_
#define SRC_DECISION_BURN_BURN_COUNTERS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "wasabihook/burn_counts.h"
#include "wasabihook/config.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/settings.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Counts the requests of this instance per team and minute. A finished minute
// becomes an immutable, numbered bucket, which is kept until the aggregator of
// the data centre acknowledges that it is stored, so that it can be collected
// again after a failure. Thread-safe.
class BurnCounters {
 public:
  // Both arguments outlive this object.
  BurnCounters(const TimerService* timers, const SettingsView* settings);

  void Record(const RequestOutcome& outcome);

  // Drops the buckets up to sequence `acknowledged` and returns the oldest of
  // the rest, at most config::kBurnBucketsPerResponse.
  std::vector<BurnBucket> Collect(uint64_t acknowledged);

  // Closes the current minute early and returns every bucket that is not
  // acknowledged. Used on shutdown.
  std::vector<BurnBucket> CollectAll();

  // Unacknowledged buckets dropped because of the limit
  // config::kBurnRetainedBuckets.
  uint64_t lost_buckets() const;

 private:
  struct OpenCell {
    int64_t minute = 0;
    BurnObjectives objectives;
    BurnCell cell;
  };
  struct Shard {
    std::mutex mutex;
    std::unordered_map<TeamId, OpenCell> open;
    std::vector<std::pair<int64_t, TeamBurn>> finished;
  };

  int64_t CurrentMinute() const;
  // Moves finished minutes, and with `include_open` the current one, into
  // numbered buckets. Requires m_closed_mutex to be held.
  void CloseMinutes(bool include_open);
  void DropAcknowledged();

  const TimerService* m_timers;
  const SettingsView* m_settings;
  std::array<Shard, config::kStateShards> m_shards;

  // Lock order: m_closed_mutex before a shard's mutex.
  mutable std::mutex m_closed_mutex;
  std::deque<BurnBucket> m_closed;
  uint64_t m_next_sequence = 1;
  uint64_t m_acknowledged = 0;
  uint64_t m_lost_buckets = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_COUNTERS_H_
