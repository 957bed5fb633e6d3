#ifndef SRC_GATEWAY_EVENT_LOOP_H_
#define SRC_GATEWAY_EVENT_LOOP_H_

// PRIVATE HEADER. Event loop of the gateway.

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wasabihook/timer_service.h"

namespace wasabihook::gateway {

// Receives the readiness events of one file descriptor.
class IoHandler {
 public:
  virtual ~IoHandler() = default;
  // `events` is a mask of EPOLLIN and the like.
  virtual void OnIo(uint32_t events) = 0;
  // An exception escaped from OnIo(). Releases the descriptor, whose state is
  // unknown.
  virtual void Abort() {}
};

// epoll loop and timers of one thread. All callbacks run on the thread that
// calls Run(), and no method may be called from another thread. Uses
// CLOCK_BOOTTIME, so that timers also count the time that the machine was
// suspended.
class EventLoop : public TimerService {
 public:
  // Throws std::runtime_error if no epoll instance can be created.
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Run();
  void Stop() { m_stopped = true; }
  // Receives the exceptions that escape from handlers and timers, so that one
  // unexpected error does not end the process. Without a hook they propagate
  // from Run().
  using ErrorHook = std::function<void(const std::exception&)>;
  void SetErrorHook(ErrorHook hook) { m_error_hook = std::move(hook); }

  // `handler` must stay valid until the end of the iteration in which the
  // descriptor is unwatched. Retire() takes care of that.
  void Watch(int fd, uint32_t events, IoHandler* handler);
  void UpdateWatch(int fd, uint32_t events, IoHandler* handler);
  void Unwatch(int fd);
  // Destroys `handler` at the end of the iteration, since events that epoll has
  // already returned may still be dispatched to it.
  void Retire(std::unique_ptr<IoHandler> handler);

  // Time at the start of the iteration or of the last UpdateTime().
  TimePoint Now() const override { return m_now; }
  WallTime WallNow() const override;
  void UpdateTime();
  TimerHandle SubscribeOnce(Duration delay, Callback callback) override;
  TimerHandle SubscribeEvery(Duration period, Callback callback) override;
  void Unsubscribe(TimerHandle handle) override;

 private:
  struct Timer {
    Callback callback;
    std::optional<Duration> period;
  };
  using TimerDeadline = std::pair<TimePoint, uint64_t>;

  TimerHandle Subscribe(Duration delay,
                        std::optional<Duration> period,
                        Callback callback);
  // Runs `step` and reports an exception to the hook. Returns false if there
  // was one.
  bool RunGuarded(const std::function<void()>& step);
  int WaitMillis() const;
  void RunTimers();

  int m_epoll = -1;
  bool m_stopped = false;
  ErrorHook m_error_hook;
  TimePoint m_now;
  uint64_t m_next_timer = 1;
  std::priority_queue<TimerDeadline, std::vector<TimerDeadline>, std::greater<>>
      m_deadlines;
  std::unordered_map<uint64_t, Timer> m_timers;
  std::vector<std::unique_ptr<IoHandler>> m_retired;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_EVENT_LOOP_H_
