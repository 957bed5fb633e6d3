#include "testing/fake_backends/event_loop.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <stdexcept>
#include <utility>

namespace wasabihook::testing {

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (m_epoll < 0 || m_wake_fd < 0) {
    throw std::runtime_error("cannot create an event loop");
  }
  Watch(m_wake_fd, EPOLLIN, [this](uint32_t) {
    eventfd_t ignored = 0;
    eventfd_read(m_wake_fd, &ignored);
  });
  m_thread = std::thread([this] { Loop(); });
}

EventLoop::~EventLoop() {
  Post([this] { m_exit = true; });
  m_thread.join();
  close(m_wake_fd);
  close(m_epoll);
}

void EventLoop::Post(Task task) {
  {
    std::lock_guard lock(m_mutex);
    m_posted.push_back(std::move(task));
  }
  eventfd_write(m_wake_fd, 1);
}

void EventLoop::RunAndWait(const Task& task) {
  if (std::this_thread::get_id() == m_thread.get_id()) {
    task();
    return;
  }
  std::promise<void> done;
  Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

void EventLoop::Watch(int fd, uint32_t events, SocketHandler handler) {
  m_handlers[fd] = std::make_shared<SocketHandler>(std::move(handler));
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::ChangeEvents(int fd, uint32_t events) const {
  epoll_event event{};
  event.events = events;
  event.data.fd = fd;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  if (m_handlers.erase(fd) > 0) {
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
  }
}

uint64_t EventLoop::After(Duration delay, Task task) {
  const uint64_t number = m_next_timer++;
  m_live_timers.insert(number);
  m_timers.push({LoopClock::now() + delay, number,
                 std::make_shared<Task>(std::move(task))});
  return number;
}

void EventLoop::CancelTimer(uint64_t timer) {
  m_live_timers.erase(timer);
}

int EventLoop::Wait(epoll_event* events, int size) {
  // The timeout of epoll_wait() has millisecond resolution, which would add up
  // to 1 ms to each service time.
  Duration wait = std::chrono::seconds(1);
  if (!m_timers.empty()) {
    wait = std::clamp(
        std::chrono::ceil<Duration>(m_timers.top().when - LoopClock::now()),
        Duration(0), wait);
  }
  const auto whole = std::chrono::floor<std::chrono::seconds>(wait);
  const timespec timeout{
      whole.count(),
      std::chrono::duration_cast<std::chrono::nanoseconds>(wait - whole)
          .count()};
  const int count = epoll_pwait2(m_epoll, events, size, &timeout, nullptr);
  if (count < 0 && errno == ENOSYS) {
    return epoll_wait(
        m_epoll, events, size,
        static_cast<int>(
            std::chrono::ceil<std::chrono::milliseconds>(wait).count()));
  }
  return count;
}

void EventLoop::Loop() {
  std::array<epoll_event, 256> events;
  while (!m_exit) {
    const int count = Wait(events.data(), static_cast<int>(events.size()));
    for (int i = 0; i < count; ++i) {
      auto found = m_handlers.find(events[i].data.fd);
      if (found != m_handlers.end()) {
        // Keeps the handler alive if it unwatches its own socket.
        const std::shared_ptr<SocketHandler> handler = found->second;
        (*handler)(events[i].events);
      }
    }
    RunTimers();
    RunPosted();
  }
}

void EventLoop::RunTimers() {
  const LoopClock::time_point now = LoopClock::now();
  while (!m_timers.empty() && m_timers.top().when <= now) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    if (m_live_timers.erase(timer.number) > 0) {
      (*timer.task)();
    }
  }
}

void EventLoop::RunPosted() {
  std::vector<Task> tasks;
  {
    std::lock_guard lock(m_mutex);
    tasks.swap(m_posted);
  }
  for (const Task& task : tasks) {
    task();
  }
}

}  // namespace wasabihook::testing
