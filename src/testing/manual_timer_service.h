#ifndef SRC_TESTING_MANUAL_TIMER_SERVICE_H_
#define SRC_TESTING_MANUAL_TIMER_SERVICE_H_

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "wasabihook/timer_service.h"

namespace wasabihook::testing {

// TimerService whose time advances only in Advance(). Callbacks run on the
// calling thread, ordered by due time and then by subscription.
class ManualTimerService : public TimerService {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
  TimerHandle SubscribeOnce(Duration delay, Callback callback) override;
  TimerHandle SubscribeEvery(Duration period, Callback callback) override;
  void Unsubscribe(TimerHandle handle) override;

  // Advances the time by `step` and runs every callback that becomes due.
  void Advance(Duration step);
  // Runs the callbacks that are due now, including those that these schedule
  // without delay.
  void RunDue() { Advance(Duration(0)); }
  // Time until the next callback. Empty if none is scheduled.
  std::optional<Duration> NextDue() const;
  // Shifts the wall clock without changing the monotonic clock.
  void ShiftWallClock(std::chrono::milliseconds shift);

 private:
  struct Entry {
    Callback callback;
    std::optional<Duration> period;
  };
  using QueueKey = std::pair<TimePoint, uint64_t>;

  TimerHandle Subscribe(Duration delay,
                        std::optional<Duration> period,
                        Callback callback);
  std::optional<Callback> TakeDue(TimePoint until);

  mutable std::mutex m_mutex;
  TimePoint m_now{std::chrono::seconds(1000)};
  WallTime m_wall{std::chrono::milliseconds(1'700'000'000'000)};
  uint64_t m_next_id = 1;
  std::map<QueueKey, Entry> m_queue;
  std::map<uint64_t, TimePoint> m_due_by_id;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_MANUAL_TIMER_SERVICE_H_
