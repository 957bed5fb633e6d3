#include "runtime/thread_timer_service.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "runtime/logging.h"

namespace wasabihook {
namespace {

// Exceeds the lifetime of any process, and is small enough that now + delay
// does not overflow.
constexpr Duration kMaxDelay = std::chrono::hours(24 * 365 * 100);

std::chrono::steady_clock::time_point ToSteady(TimePoint time) {
  return std::chrono::steady_clock::time_point(time.since_epoch);
}

}  // namespace

ThreadTimerService::ThreadTimerService(uint32_t threads) {
  for (uint32_t i = 0; i < std::max(1U, threads); ++i)
    m_threads.emplace_back([this] { RunThread(); });
}

ThreadTimerService::~ThreadTimerService() {
  Stop();
}

void ThreadTimerService::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_queue_changed.notify_all();
  m_leader_released.notify_all();
  for (std::thread& thread : m_threads)
    thread.join();
  m_threads.clear();
}

TimePoint ThreadTimerService::Now() const {
  return {std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch())};
}

WallTime ThreadTimerService::WallNow() const {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
}

TimerHandle ThreadTimerService::SubscribeOnce(Duration delay,
                                              Callback callback) {
  return Subscribe(delay, std::nullopt, std::move(callback));
}

TimerHandle ThreadTimerService::SubscribeEvery(Duration period,
                                               Callback callback) {
  // A period of 0 would occupy a thread permanently.
  const Duration positive = std::max(period, Duration(1));
  return Subscribe(positive, positive, std::move(callback));
}

TimerHandle ThreadTimerService::Subscribe(Duration delay,
                                          std::optional<Duration> period,
                                          Callback callback) {
  const TimePoint due = Now() + std::clamp(delay, Duration(0), kMaxDelay);
  std::lock_guard lock(m_mutex);
  const uint64_t id = m_next_id++;
  Enqueue(id, due, {std::move(callback), period});
  return TimerHandle(id);
}

void ThreadTimerService::Enqueue(uint64_t id, TimePoint due, Entry entry) {
  const auto [position, inserted] =
      m_queue.emplace(QueueKey{due, id}, std::move(entry));
  m_due_by_id[id] = due;
  if (position != m_queue.begin())
    return;
  m_queue_changed.notify_one();
}

void ThreadTimerService::Unsubscribe(TimerHandle handle) {
  // Destroyed after the lock is released, since destructors of captured objects
  // may run arbitrary code.
  std::map<QueueKey, Entry>::node_type removed;
  std::lock_guard lock(m_mutex);
  const auto found = m_due_by_id.find(handle.value());
  if (found == m_due_by_id.end())
    return;
  if (found->second)
    removed = m_queue.extract({*found->second, handle.value()});
  m_due_by_id.erase(found);
}

// Returns when the first entry is due or m_stopping is set.
void ThreadTimerService::WaitForDueEntry(std::unique_lock<std::mutex>& lock) {
  m_leader_released.wait(lock, [this] { return m_stopping || !m_has_leader; });
  m_has_leader = true;
  while (!m_stopping) {
    if (m_queue.empty()) {
      m_queue_changed.wait(lock);
      continue;
    }
    const TimePoint due = m_queue.begin()->first.first;
    if (due <= Now())
      break;
    m_queue_changed.wait_until(lock, ToSteady(due));
  }
  m_has_leader = false;
}

void ThreadTimerService::RunThread() {
  std::unique_lock lock(m_mutex);
  while (true) {
    WaitForDueEntry(lock);
    if (m_stopping)
      return;
    auto node = m_queue.extract(m_queue.begin());
    const uint64_t id = node.key().second;
    m_due_by_id[id] = std::nullopt;
    m_leader_released.notify_one();
    RunEntry(lock, id, std::move(node.mapped()));
  }
}

void ThreadTimerService::RunEntry(std::unique_lock<std::mutex>& lock,
                                  uint64_t id,
                                  Entry entry) {
  if (!entry.period)
    m_due_by_id.erase(id);
  lock.unlock();
  try {
    entry.callback();
  } catch (const std::exception& error) {
    Log(LogLevel::kError, "timer_callback_failed", {{"reason", error.what()}});
  }
  if (!entry.period)
    entry.callback = nullptr;
  lock.lock();
  if (!entry.period)
    return;
  if (m_due_by_id.contains(id)) {
    const TimePoint due = Now() + *entry.period;
    Enqueue(id, due, std::move(entry));
    return;
  }
  lock.unlock();
  entry.callback = nullptr;
  lock.lock();
}

}  // namespace wasabihook
