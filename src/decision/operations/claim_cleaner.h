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
  // Live instances, including `self`. Rendezvous hashing assigns each bucket to
  // one of them; it is harmless if two instances clean the same bucket.
  std::function<std::vector<std::string>()> live_instances;
  struct Team {
    TeamId id;
    Duration retention = config::kClaimRetention;
  };
  std::function<std::vector<Team>()> teams;
};

// Deletes claims older than the retention time plus the clock margin, by
// compare-and-delete and with a limited call rate. This is safe because
// requests are refused if their issue time is older than the retention time
// minus the margin, or further in the future than the margin. Thread-safe.
class ClaimCleaner {
 public:
  // The objects in `deps` outlive every call that was started.
  explicit ClaimCleaner(ClaimCleanerDeps deps);
  ~ClaimCleaner();
  ClaimCleaner(const ClaimCleaner&) = delete;
  ClaimCleaner& operator=(const ClaimCleaner&) = delete;

  // Claims deleted since construction.
  uint64_t removed() const;

 private:
  class Sweep;
  const ClaimCleanerDeps m_deps;
  const std::shared_ptr<Sweep> m_sweep;
  TimerHandle m_timer;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_CLEANER_H_
