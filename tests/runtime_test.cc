#include <gtest/gtest.h>
#include <signal.h>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "runtime/limits.h"
#include "runtime/logging.h"
#include "runtime/signal_watcher.h"
#include "runtime/thread_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kTimeout(60);

// Guards against callbacks that run in the wrong order or not at all.
TEST(ThreadTimerService, RunsCallbacksInOrderOfDueTime) {
  ThreadTimerService timers(1);
  std::promise<void> last;
  std::vector<int> order;
  timers.SubscribeOnce(milliseconds(40), [&] {
    order.push_back(2);
    last.set_value();
  });
  timers.SubscribeOnce(milliseconds(1), [&] { order.push_back(1); });
  ASSERT_EQ(last.get_future().wait_for(kTimeout), std::future_status::ready);
  EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

// Guards against a slow callback that delays all others.
TEST(ThreadTimerService, BlockedCallbackDoesNotDelayOthers) {
  ThreadTimerService timers(2);
  std::promise<void> other_ran;
  std::promise<bool> result;
  timers.SubscribeOnce(Duration(0), [&] {
    result.set_value(other_ran.get_future().wait_for(kTimeout) ==
                     std::future_status::ready);
  });
  timers.SubscribeOnce(milliseconds(5), [&] { other_ran.set_value(); });
  EXPECT_TRUE(result.get_future().get());
}

// Guards against overlapping runs of a periodic callback, and against runs
// after the callback unsubscribed itself.
TEST(ThreadTimerService, PeriodicCallbackUnsubscribesItself) {
  ThreadTimerService timers(4);
  std::atomic<int> running{0};
  std::atomic<int> runs{0};
  std::atomic<bool> overlapped{false};
  std::atomic<uint64_t> handle{0};
  std::promise<void> done;
  handle = timers
               .SubscribeEvery(milliseconds(1),
                               [&] {
                                 if (++running > 1)
                                   overlapped = true;
                                 if (++runs == 5) {
                                   while (handle == 0)
                                     std::this_thread::yield();
                                   timers.Unsubscribe(TimerHandle(handle));
                                   done.set_value();
                                 }
                                 --running;
                               })
               .value();
  ASSERT_EQ(done.get_future().wait_for(kTimeout), std::future_status::ready);
  std::promise<void> later;
  timers.SubscribeOnce(milliseconds(20), [&] { later.set_value(); });
  later.get_future().wait();
  EXPECT_EQ(runs, 5);
  EXPECT_FALSE(overlapped);
}

// Guards against overflow of now + delay, which would run the callback
// immediately.
TEST(ThreadTimerService, MaximumDelayDoesNotOverflow) {
  ThreadTimerService timers(1);
  std::atomic<bool> ran{false};
  timers.SubscribeOnce(Duration::max(), [&] { ran = true; });
  std::promise<void> later;
  timers.SubscribeOnce(milliseconds(5), [&] { later.set_value(); });
  later.get_future().wait();
  EXPECT_FALSE(ran);
}

// Guards against races between threads that subscribe and unsubscribe.
TEST(ThreadTimerService, ConcurrentUseRunsEachCallbackOnce) {
  constexpr int kThreads = 4;
  constexpr int kTimers = 500;
  std::atomic<int> ran{0};
  std::promise<void> all;
  ThreadTimerService timers(3);
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < kTimers; ++i) {
        timers.SubscribeOnce(Duration(i % 7 * 100), [&] {
          if (++ran == kThreads * kTimers)
            all.set_value();
        });
        timers.Unsubscribe(timers.SubscribeOnce(seconds(60), [&] { ++ran; }));
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_EQ(all.get_future().wait_for(kTimeout), std::future_status::ready);
  EXPECT_EQ(ran, kThreads * kTimers);
}

// Guards against instances that together admit fewer or far more requests than
// the servers can process.
TEST(PoolCapacity, DividesTheSmallestGroup) {
  IndexSetSnapshot snapshot;
  snapshot.server_limits.slots = 2;
  snapshot.groups = {
      {ShardGroupId("a"), 1, {{ServerId("1:1"), {}}}},
      {ShardGroupId("b"), 1, {{ServerId("2:1"), {}}, {ServerId("3:1"), {}}}}};
  const uint32_t server_capacity = 2 + config::kMaxServerQueueLength;
  EXPECT_EQ(PoolCapacity(snapshot, 1), server_capacity);
  EXPECT_EQ(PoolCapacity(snapshot, 0), server_capacity);
  EXPECT_EQ(PoolCapacity(snapshot, 3), (server_capacity + 2) / 3);
  EXPECT_EQ(PoolCapacity(snapshot, 1000), 1U);
}

// Guards against log lines that are not valid JSON because of special
// characters in a field.
TEST(Logging, EveryLineIsOneJsonObject) {
  std::ostringstream out;
  SetLogSink(std::make_shared<spdlog::sinks::ostream_sink_mt>(out));
  const std::string special_characters = "a\"b\\c\nd\x01 {} %s \xff end";
  Log(LogLevel::kWarning, "test_event", RequestId(special_characters),
      {{"text", special_characters}, {"count", 3}});
  Log(LogLevel::kDebug, "not_written");
  const std::string text = out.str();
  ASSERT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  const auto line = nlohmann::json::parse(text);
  EXPECT_EQ(line["event"], "test_event");
  EXPECT_EQ(line["level"], "warning");
  EXPECT_EQ(line["count"], 3);
  EXPECT_EQ(line["request_id"], line["text"]);
  SetLogSink(std::make_shared<spdlog::sinks::ostream_sink_mt>(std::cerr));
}

// Guards against a signal that terminates the process instead of reaching the
// callback.
TEST(SignalWatcher, DeliversEachSignal) {
  BlockTerminationSignals();
  std::promise<int> first;
  SignalWatcher watcher([&](int signal) { first.set_value(signal); });
  kill(getpid(), SIGTERM);
  EXPECT_EQ(first.get_future().get(), SIGTERM);
}

}  // namespace
}  // namespace wasabihook
