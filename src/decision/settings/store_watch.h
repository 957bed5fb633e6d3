#ifndef SRC_DECISION_SETTINGS_STORE_WATCH_H_
#define SRC_DECISION_SETTINGS_STORE_WATCH_H_

#include <memory>
#include <mutex>
#include <optional>

#include "decision/membership/backoff.h"
#include "decision/settings/platform_rate_limiter.h"
#include "decision/settings/settings_registry.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// All pointers outlive the StoreWatch.
struct StoreWatchDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  SettingsRegistry* registry = nullptr;
  RandomSource random;
  // True while this instance is one of the watchers of its data centre.
  std::function<bool()> is_watcher;
};

// Reads the settings from the store: once at startup, then with a long-polling
// watch while this instance is a watcher. Thread-safe.
class StoreWatch : public std::enable_shared_from_this<StoreWatch> {
 public:
  static std::shared_ptr<StoreWatch> Create(StoreWatchDeps deps);

  // Retries the first read until it succeeds, then watches the store while
  // this instance is a watcher. Timers and callbacks do nothing once the last
  // reference is released.
  void Start();
  void SetCallRate(double calls_per_second);
  // Time since the last successful response from the store; empty if there was
  // none.
  std::optional<Duration> StoreAge() const;
  // True if this instance was a watcher at the last step; used for status.
  bool watching() const;

 private:
  explicit StoreWatch(StoreWatchDeps deps);

  // Makes the next call if a read is needed and the rate limit permits it;
  // otherwise schedules another step.
  void Step();
  void ListStore(std::optional<Revision> newer_than, uint64_t call);
  void OnListed(uint64_t call, const ListResult& result);
  void OnCallTimeout(uint64_t call);
  void OfferAll(const ListResult& result);
  void StepAfter(Duration delay);
  void RunAfter(Duration delay, std::function<void(StoreWatch&)> action);

  const StoreWatchDeps m_deps;
  mutable std::mutex m_mutex;
  PlatformRateLimiter m_rate_limiter;
  Backoff m_backoff;
  // Store revision of the last read; empty before the first read.
  std::optional<Revision> m_read_revision;
  std::optional<TimePoint> m_answered_at;
  bool m_watching = false;
  // Id of the call in progress; 0 if there is none. A late result of an earlier
  // call is applied but does not schedule another step.
  uint64_t m_active_call = 0;
  uint64_t m_last_call_id = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_STORE_WATCH_H_
