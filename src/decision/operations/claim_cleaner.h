#ifndef SRC_DECISION_OPERATIONS_CLAIM_CLEANER_H_
#define SRC_DECISION_OPERATIONS_CLAIM_CLEANER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/platform.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

struct ClaimCleanerDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  InstanceId self;
  // Live instances, `self` included. Each bucket belongs to one of them by
  // rendezvous hashing; a bucket that two of them clean is harmless.
  std::function<std::vector<std::string>()> live_instances;
  struct Team {
    TeamId id;
    Duration retention = config::kClaimRetention;
  };
  std::function<std::vector<Team>()> teams;
};

// Removes claims that are older than the retention time plus the clock margin,
// by compare-and-delete within a call budget. This is safe because a request
// whose issue time is older than the retention time less the margin is
// refused, and one whose issue time lies further ahead than the margin too.
// Thread-safe.
class ClaimCleaner {
 public:
  // The collaborators outlive every call that was started.
  explicit ClaimCleaner(ClaimCleanerDeps deps);
  ~ClaimCleaner();
  ClaimCleaner(const ClaimCleaner&) = delete;
  ClaimCleaner& operator=(const ClaimCleaner&) = delete;

  // Claims removed since the start.
  uint64_t removed() const;

 private:
  class Sweep;
  const ClaimCleanerDeps m_deps;
  const std::shared_ptr<Sweep> m_sweep;
  TimerHandle m_timer;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_CLEANER_H_
