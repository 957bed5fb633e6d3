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

// Prefix of the keys that hold burn counts; the data centre follows.
inline constexpr char kBurnKeyPrefix[] = "burn/";

// Instance that rendezvous hashing selects to aggregate burn counts. Instances
// may disagree about it for a while. Empty if `live` is.
std::optional<InstanceId> BurnAggregatorAmong(
    const std::vector<PeerIdentity>& live);

// Collaborators of a BurnAggregator. All outlive it.
struct BurnAggregatorDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  PeerTransport* peers = nullptr;
  BurnCounters* counters = nullptr;
  RandomSource random;
  PeerIdentity self;
  // Live instances of the data centre of `self`, with or without `self`.
  std::function<std::vector<PeerIdentity>()> live;
};

struct BurnAggregatorStats {
  uint64_t rounds_written = 0;
  uint64_t conflicts = 0;
  uint64_t failures = 0;  // Reads and writes that had no or an unclear answer.
  uint64_t peers_missed = 0;
  // The stored value could not be decoded; it is never overwritten.
  uint64_t malformed = 0;
  uint64_t stored_bytes = 0;  // Size of the last value written.
};

// Makes burn counts durable. Every instance runs one; the one selected by
// rendezvous hashing collects from the others of its data centre and writes the
// merged counts by compare-and-swap. Thread-safe.
class BurnAggregator {
 public:
  explicit BurnAggregator(BurnAggregatorDeps deps);
  ~BurnAggregator();
  BurnAggregator(const BurnAggregator&) = delete;
  BurnAggregator& operator=(const BurnAggregator&) = delete;

  // Collects every config::kBurnCollectPeriod from now on, when selected.
  void Start();
  // Runs one round now if this instance is selected and no round is running.
  void RunRound();
  // Answers the aggregator of the data centre.
  BurnCountsResponse Handle(const BurnCountsRequest& request);
  // Stops aggregating and writes the counts of this instance, the current
  // minute included. `done(true)` is called once they are durable,
  // `done(false)` after config::kBurnHandOverAttempts failures. It is not
  // called after the destruction of this object.
  void HandOver(std::function<void(bool)> done);

  BurnAggregatorStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_AGGREGATOR_H_
