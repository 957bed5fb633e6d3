#ifndef SRC_DECISION_BURN_BURN_AGGREGATOR_H_
#define SRC_DECISION_BURN_BURN_AGGREGATOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/burn/burn_counters.h"
#include "wasabihook/peer.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Platform key prefix of the burn counts, followed by the data centre.
inline constexpr char kBurnKeyPrefix[] = "burn/";

// Selects the instance that aggregates burn counts, by rendezvous hashing.
// Instances whose views of `live` differ may select different ones. Returns
// nothing if `live` is empty.
std::optional<InstanceId> SelectBurnAggregator(
    const std::vector<PeerIdentity>& live);

// Dependencies of a BurnAggregator. All outlive it.
struct BurnAggregatorDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  PeerTransport* peers = nullptr;
  BurnCounters* counters = nullptr;
  RandomSource random;
  PeerIdentity self;
  // Live instances in the data centre of `self`; `self` may be missing.
  std::function<std::vector<PeerIdentity>()> live;
};

struct BurnAggregatorStats {
  uint64_t rounds_written = 0;
  uint64_t conflicts = 0;
  uint64_t failures = 0;  // Failed reads and writes, or result unknown.
  uint64_t peers_missed = 0;
  // Stored values that could not be decoded. They are never overwritten.
  uint64_t malformed = 0;
  uint64_t stored_bytes = 0;  // Size of the last value written.
};

// Stores burn counts in the platform. Every instance has a BurnAggregator; the
// instance selected by rendezvous hashing collects the counts of the others in
// its data centre and writes the merged counts by compare-and-swap.
// Thread-safe.
class BurnAggregator {
 public:
  explicit BurnAggregator(BurnAggregatorDeps deps);
  ~BurnAggregator();
  BurnAggregator(const BurnAggregator&) = delete;
  BurnAggregator& operator=(const BurnAggregator&) = delete;

  // Starts a round every config::kBurnCollectPeriod while selected.
  void Start();
  // Collects and stores counts once, if this instance is selected and no round
  // is running.
  void RunRound();
  // Handles a request of the data centre's aggregator.
  BurnCountsResponse Handle(const BurnCountsRequest& request);
  // Stops aggregating and stores the counts of this instance, including the
  // current minute. Calls `done(true)` once they are stored, or `done(false)`
  // after config::kBurnHandOverAttempts failures. Does not call `done` after
  // the destruction of this object.
  void HandOver(std::function<void(bool)> done);

  BurnAggregatorStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_AGGREGATOR_H_
