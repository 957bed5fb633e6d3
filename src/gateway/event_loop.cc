#include "gateway/event_loop.h"

#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>

namespace wasabihook::gateway {
namespace {

constexpr int kEventsPerWait = 256;
// Longest wait in epoll_wait(), in milliseconds.
constexpr int kMaxWaitMs = 1000;

TimePoint ReadClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return {std::chrono::seconds(now.tv_sec) +
          std::chrono::microseconds(now.tv_nsec / 1000)};
}

}  // namespace

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_now(ReadClock()) {
  if (m_epoll < 0)
    throw std::runtime_error("cannot create an epoll instance");
}

EventLoop::~EventLoop() {
  close(m_epoll);
}

void EventLoop::Watch(int fd, uint32_t events, IoHandler* handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = handler;
  if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::runtime_error("cannot add a descriptor to the epoll instance");
}

void EventLoop::UpdateWatch(int fd, uint32_t events, IoHandler* handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = handler;
  epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::Unwatch(int fd) {
  epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::Retire(std::unique_ptr<IoHandler> handler) {
  m_retired.push_back(std::move(handler));
}

WallTime EventLoop::WallNow() const {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
}

void EventLoop::UpdateTime() {
  m_now = ReadClock();
}

TimerHandle EventLoop::SubscribeOnce(Duration delay, Callback callback) {
  return Subscribe(delay, std::nullopt, std::move(callback));
}

TimerHandle EventLoop::SubscribeEvery(Duration period, Callback callback) {
  return Subscribe(period, period, std::move(callback));
}

TimerHandle EventLoop::Subscribe(Duration delay,
                                 std::optional<Duration> period,
                                 Callback callback) {
  const uint64_t id = m_next_timer++;
  m_timers.emplace(id, Timer{std::move(callback), period});
  m_deadlines.emplace(m_now + std::max(delay, Duration(0)), id);
  return TimerHandle(id);
}

void EventLoop::Unsubscribe(TimerHandle handle) {
  m_timers.erase(handle.value());
}

int EventLoop::WaitMillis() const {
  if (m_deadlines.empty())
    return kMaxWaitMs;
  const Duration left = m_deadlines.top().first - m_now;
  if (left <= Duration(0))
    return 0;
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left);
  return static_cast<int>(std::min<int64_t>(millis.count(), kMaxWaitMs));
}

void EventLoop::RunTimers() {
  // Runs the timers that are due now. Those that callbacks add wait for the
  // next iteration, so that descriptors are served in between.
  const TimePoint now = m_now;
  const uint64_t limit = m_next_timer;
  while (!m_deadlines.empty() && m_deadlines.top().first <= now) {
    const uint64_t id = m_deadlines.top().second;
    if (id >= limit)
      return;
    m_deadlines.pop();
    const auto found = m_timers.find(id);
    if (found == m_timers.end())
      continue;
    if (const auto period = found->second.period) {
      m_deadlines.emplace(now + *period, id);
      const Callback callback = found->second.callback;
      RunGuarded(callback);
    } else {
      const Callback callback = std::move(found->second.callback);
      m_timers.erase(found);
      RunGuarded(callback);
    }
  }
}

bool EventLoop::RunGuarded(const std::function<void()>& step) {
  try {
    step();
    return true;
  } catch (const std::exception& error) {
    if (!m_error_hook)
      throw;
    m_error_hook(error);
    return false;
  }
}

void EventLoop::Run() {
  std::array<epoll_event, kEventsPerWait> events{};
  m_stopped = false;
  while (!m_stopped) {
    UpdateTime();
    const int count =
        epoll_wait(m_epoll, events.data(), kEventsPerWait, WaitMillis());
    if (count < 0 && errno != EINTR)
      throw std::runtime_error("epoll_wait failed");
    UpdateTime();
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events.at(static_cast<size_t>(i));
      auto* handler = static_cast<IoHandler*>(event.data.ptr);
      if (!RunGuarded([handler, &event] { handler->OnIo(event.events); }))
        RunGuarded([handler] { handler->Abort(); });
    }
    // Events come before timers: after a pause of the process, replies that
    // have arrived must not be treated as timed out.
    RunTimers();
    m_retired.clear();
  }
}

}  // namespace wasabihook::gateway
