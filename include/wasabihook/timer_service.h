#ifndef WASABIHOOK_TIMER_SERVICE_H_
#define WASABIHOOK_TIMER_SERVICE_H_

#include <functional>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Clock and timers of the decision logic. Thread-safe. Callbacks run with no
// lock of the service held, possibly on another thread.
class TimerService {
 public:
  using Callback = std::function<void()>;

  virtual ~TimerService() = default;

  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;

  // Runs `callback` once after `delay`.
  virtual TimerHandle SubscribeOnce(Duration delay, Callback callback) = 0;
  // Runs `callback` every `period`, for the first time after one period.
  virtual TimerHandle SubscribeEvery(Duration period, Callback callback) = 0;
  // Cancels a timer. A callback that is already running may finish after this
  // returns. An unknown or expired handle is ignored.
  virtual void Unsubscribe(TimerHandle handle) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_TIMER_SERVICE_H_
