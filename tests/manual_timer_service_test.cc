#include "testing/manual_timer_service.h"

#include <gtest/gtest.h>

#include <vector>

namespace wasabihook::testing {
namespace {

using std::chrono::milliseconds;

// Callbacks must run when due and in order of their due time.
TEST(ManualTimerServiceTest, RunsCallbacksInDueOrder) {
  ManualTimerService timers;
  std::vector<int> order;
  timers.SubscribeOnce(milliseconds(20), [&] { order.push_back(2); });
  timers.SubscribeOnce(milliseconds(10), [&] { order.push_back(1); });
  timers.Advance(milliseconds(15));
  EXPECT_EQ(order, std::vector<int>({1}));
  timers.Advance(milliseconds(5));
  EXPECT_EQ(order, std::vector<int>({1, 2}));
}

// Unsubscribe() must stop a periodic timer.
TEST(ManualTimerServiceTest, PeriodicTimerStopsWhenUnsubscribed) {
  ManualTimerService timers;
  int runs = 0;
  TimerHandle handle = timers.SubscribeEvery(milliseconds(10), [&] { ++runs; });
  timers.Advance(milliseconds(35));
  EXPECT_EQ(runs, 3);
  timers.Unsubscribe(handle);
  timers.Advance(milliseconds(100));
  EXPECT_EQ(runs, 3);
}

}  // namespace
}  // namespace wasabihook::testing
