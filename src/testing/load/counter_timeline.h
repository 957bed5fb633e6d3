#ifndef SRC_TESTING_LOAD_COUNTER_TIMELINE_H_
#define SRC_TESTING_LOAD_COUNTER_TIMELINE_H_

// PRIVATE HEADER. Time series of the fake servers' counters during a run.

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "testing/load/backends_control.h"
#include "wasabihook/units.h"

namespace wasabihook::load {

// Polls the counters on a background thread.
class CounterTimeline {
 public:
  // `start` is the end of the warm-up; readings are timed relative to it.
  CounterTimeline(const BackendsControl* backends,
                  std::chrono::steady_clock::time_point start);
  ~CounterTimeline();
  CounterTimeline(const CounterTimeline&) = delete;
  CounterTimeline& operator=(const CounterTimeline&) = delete;

  // Stops polling and takes a final reading. Throws std::runtime_error if the
  // final reading fails.
  void Finish();

  // First reading at or after `at`, or the last one. Valid after Finish().
  const CountsByServer& At(Duration at) const;
  const CountsByServer& Last() const;
  // Requests received by all servers up to `at`, interpolated linearly between
  // readings.
  double ReceivedAt(Duration at) const;

 private:
  struct Reading {
    Duration at{0};
    CountsByServer counts;
  };
  void TakeReading();

  const BackendsControl* const m_backends;
  const std::chrono::steady_clock::time_point m_start;
  std::vector<Reading> m_readings;
  std::atomic<bool> m_stopping = false;
  std::thread m_thread;
};

// Sum of one counter over the servers in `names`, or over all if it is empty.
uint64_t SumCounter(const CountsByServer& counts,
                    uint64_t ServerCounts::*counter,
                    const std::vector<std::string>& names = {});

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_COUNTER_TIMELINE_H_
