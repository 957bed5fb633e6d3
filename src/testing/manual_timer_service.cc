#include "testing/manual_timer_service.h"

namespace wasabihook::testing {

TimePoint ManualTimerService::Now() const {
  std::lock_guard lock(m_mutex);
  return m_now;
}

WallTime ManualTimerService::WallNow() const {
  std::lock_guard lock(m_mutex);
  return m_wall;
}

TimerHandle ManualTimerService::SubscribeOnce(Duration delay,
                                              Callback callback) {
  return Subscribe(delay, std::nullopt, std::move(callback));
}

TimerHandle ManualTimerService::SubscribeEvery(Duration period,
                                               Callback callback) {
  return Subscribe(period, period, std::move(callback));
}

TimerHandle ManualTimerService::Subscribe(Duration delay,
                                          std::optional<Duration> period,
                                          Callback callback) {
  std::lock_guard lock(m_mutex);
  const uint64_t id = m_next_id++;
  const TimePoint due = m_now + std::max(delay, Duration(0));
  m_queue.emplace(QueueKey{due, id}, Entry{std::move(callback), period});
  m_due_by_id[id] = due;
  return TimerHandle(id);
}

void ManualTimerService::Unsubscribe(TimerHandle handle) {
  std::lock_guard lock(m_mutex);
  if (auto it = m_due_by_id.find(handle.value()); it != m_due_by_id.end()) {
    m_queue.erase({it->second, it->first});
    m_due_by_id.erase(it);
  }
}

void ManualTimerService::Advance(Duration step) {
  const TimePoint until = Now() + step;
  while (std::optional<Callback> callback = TakeDue(until)) {
    (*callback)();
  }
}

std::optional<TimerService::Callback> ManualTimerService::TakeDue(
    TimePoint until) {
  std::lock_guard lock(m_mutex);
  const bool none_due = m_queue.empty() || m_queue.begin()->first.first > until;
  const TimePoint next = none_due ? until : m_queue.begin()->first.first;
  if (next > m_now) {
    m_wall = m_wall + std::chrono::duration_cast<std::chrono::milliseconds>(
                          next - m_now);
    m_now = next;
  }
  if (none_due) {
    return std::nullopt;
  }
  auto node = m_queue.extract(m_queue.begin());
  const uint64_t id = node.key().second;
  if (!node.mapped().period) {
    m_due_by_id.erase(id);
    return std::move(node.mapped().callback);
  }
  Callback callback = node.mapped().callback;
  node.key().first = node.key().first + *node.mapped().period;
  m_due_by_id[id] = node.key().first;
  m_queue.insert(std::move(node));
  return callback;
}

std::optional<Duration> ManualTimerService::NextDue() const {
  std::lock_guard lock(m_mutex);
  if (m_queue.empty()) {
    return std::nullopt;
  }
  return m_queue.begin()->first.first - m_now;
}

void ManualTimerService::ShiftWallClock(std::chrono::milliseconds shift) {
  std::lock_guard lock(m_mutex);
  m_wall = m_wall + shift;
}

}  // namespace wasabihook::testing
