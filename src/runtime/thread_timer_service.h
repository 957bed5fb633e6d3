#ifndef SRC_RUNTIME_THREAD_TIMER_SERVICE_H_
#define SRC_RUNTIME_THREAD_TIMER_SERVICE_H_

// PRIVATE HEADER.

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// TimerService based on the steady clock and a thread pool. Runs of a periodic
// callback never overlap: its next period starts after it returns. An exception
// thrown by a callback is logged and otherwise ignored.
class ThreadTimerService : public TimerService {
 public:
  explicit ThreadTimerService(uint32_t threads = config::kTimerThreads);
  // Calls Stop().
  ~ThreadTimerService() override;

  // Starts no further callbacks and waits for those that are running. Must not
  // be called from a callback.
  void Stop();

  TimePoint Now() const override;
  WallTime WallNow() const override;
  TimerHandle SubscribeOnce(Duration delay, Callback callback) override;
  TimerHandle SubscribeEvery(Duration period, Callback callback) override;
  void Unsubscribe(TimerHandle handle) override;

 private:
  struct Entry {
    Callback callback;
    std::optional<Duration> period;
  };
  using QueueKey = std::pair<TimePoint, uint64_t>;

  TimerHandle Subscribe(Duration delay,
                        std::optional<Duration> period,
                        Callback callback);
  void Enqueue(uint64_t id, TimePoint due, Entry entry);
  void RunThread();
  void WaitForDueEntry(std::unique_lock<std::mutex>& lock);
  void RunEntry(std::unique_lock<std::mutex>& lock, uint64_t id, Entry entry);

  mutable std::mutex m_mutex;
  std::condition_variable m_queue_changed;
  bool m_stopping = false;
  // Leader/follower: the leader waits for the next due time, the other threads
  // wait to become the leader.
  bool m_has_leader = false;
  uint64_t m_next_id = 1;
  std::map<QueueKey, Entry> m_queue;
  // Due time of each subscribed handle; empty while its callback runs.
  std::unordered_map<uint64_t, std::optional<TimePoint>> m_due_by_id;
  std::condition_variable m_leader_released;
  std::vector<std::thread> m_threads;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_THREAD_TIMER_SERVICE_H_
