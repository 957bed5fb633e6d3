// Private. Single-threaded event loop of the fake servers.
#ifndef SRC_TESTING_FAKE_BACKENDS_EVENT_LOOP_H_
#define SRC_TESTING_FAKE_BACKENDS_EVENT_LOOP_H_

#include <sys/epoll.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::testing {

using LoopClock = std::chrono::steady_clock;

// Runs socket handlers, timers and posted tasks on one thread. Post() and
// RunAndWait() are thread-safe; all other functions must be called on the
// loop's thread.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using SocketHandler = std::function<void(uint32_t epoll_events)>;

  EventLoop();
  // Stops the thread. Pending tasks and timers are dropped.
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  void Post(Task task);
  // Runs `task` on the loop's thread and waits until it returns. Runs it
  // directly if called on that thread.
  void RunAndWait(const Task& task);

  // Calls `handler` for the given epoll events of `fd`.
  void Watch(int fd, uint32_t events, SocketHandler handler);
  void ChangeEvents(int fd, uint32_t events) const;
  void Unwatch(int fd);
  // Runs `task` after `delay`. Returns the timer number for CancelTimer().
  uint64_t After(Duration delay, Task task);
  void CancelTimer(uint64_t timer);

 private:
  struct Timer {
    LoopClock::time_point when;
    uint64_t number;
    std::shared_ptr<Task> task;
    bool operator>(const Timer& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };

  void Loop();
  int Wait(epoll_event* events, int size);
  void RunTimers();
  void RunPosted();

  int m_epoll;
  int m_wake_fd;
  uint64_t m_next_timer = 1;
  bool m_exit = false;
  std::unordered_map<int, std::shared_ptr<SocketHandler>> m_handlers;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  std::unordered_set<uint64_t> m_live_timers;
  std::mutex m_mutex;
  std::vector<Task> m_posted;  // Guarded by m_mutex.
  std::thread m_thread;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_EVENT_LOOP_H_
