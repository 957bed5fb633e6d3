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

// Reads the settings from the store: once at the start, then by a watch while
// this instance is a watcher. Thread-safe.
class StoreWatch : public std::enable_shared_from_this<StoreWatch> {
 public:
  static std::shared_ptr<StoreWatch> Create(StoreWatchDeps deps);

  // Reads the store until one read succeeds, and watches when it should.
  // Nothing runs after the last reference is gone.
  void Start();
  void SetCallRate(double calls_per_second);
  // Time since the store last answered; empty if it never did.
  std::optional<Duration> StoreAge() const;
  // True while a watch is wanted; for status.
  bool watching() const;

 private:
  explicit StoreWatch(StoreWatchDeps deps);

  // Makes the next call if one is due; otherwise looks again later.
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
  // Revision up to which the store was read; empty before the first read.
  std::optional<Revision> m_read_revision;
  std::optional<TimePoint> m_answered_at;
  bool m_watching = false;
  // The call under way; 0 if there is none. Late results of others are used
  // but do not continue the series.
  uint64_t m_active_call = 0;
  uint64_t m_last_call_id = 0;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_STORE_WATCH_H_
