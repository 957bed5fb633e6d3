#include "decision/routing/admission_controller.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "testing/manual_timer_service.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ManualTimerService;

const IndexSetId kPool("lab-ledger");
const TeamId kClerks("clerks");
const TeamId kCouriers("couriers");

class AdmissionControllerTest : public ::testing::Test {
 protected:
  // Requests admission and returns the index of the result in m_results.
  size_t RequestAdmission(const TeamId& team,
                          Duration timeout = seconds(1),
                          uint32_t max_queued = 10,
                          uint32_t weight = 1) {
    const size_t index = m_results.size();
    m_results.emplace_back();
    m_controller->Request(
        {team, kPool, weight, max_queued, m_timers.Now() + timeout},
        [this, index, team](AdmissionResult result) {
          EXPECT_FALSE(m_results[index].has_value()) << "decided twice";
          m_results[index] = result;
          if (result == AdmissionResult::kAdmitted) {
            ++m_admitted[team];
            m_running.push_back(team);
          }
        });
    return index;
  }
  void ReleaseRequest(const TeamId& team,
                      Duration latency,
                      bool overloaded = false) {
    m_controller->Release(team, kPool, latency, overloaded);
  }
  // Sets the pool's capacity to 1 and runs requests until its service time
  // estimate is `latency`.
  void TrainServiceTime(Duration latency) {
    m_controller->SetPoolCapacity(kPool, 1);
    for (int i = 0; i < 50; ++i) {
      RequestAdmission(kClerks);
      m_timers.Advance(latency);
      ReleaseRequest(kClerks, latency);
    }
  }

  ManualTimerService m_timers;
  std::unique_ptr<AdmissionController> m_controller =
      AdmissionController::Create(&m_timers);
  std::deque<std::optional<AdmissionResult>> m_results;
  std::map<TeamId, int> m_admitted;
  std::deque<TeamId> m_running;
};

// Guards against an unbounded queue and against late refusals when it is full.
TEST_F(AdmissionControllerTest, QueueIsBoundedAndRefusesAtOnce) {
  m_controller->SetPoolCapacity(kPool, 2);
  EXPECT_EQ(m_results[RequestAdmission(kClerks, seconds(1), 1)],
            AdmissionResult::kAdmitted);
  EXPECT_EQ(m_results[RequestAdmission(kClerks, seconds(1), 1)],
            AdmissionResult::kAdmitted);
  const size_t queued = RequestAdmission(kClerks, seconds(1), 1);
  EXPECT_EQ(m_results[queued], std::nullopt);
  EXPECT_EQ(m_results[RequestAdmission(kClerks, seconds(1), 1)],
            AdmissionResult::kQueueFull);
  EXPECT_EQ(m_results[RequestAdmission(kCouriers, seconds(1), 0)],
            AdmissionResult::kQueueFull);
  ReleaseRequest(kClerks, milliseconds(5));
  EXPECT_EQ(m_results[queued], AdmissionResult::kAdmitted);
}

// Guards against queued requests whose callback is never called.
TEST_F(AdmissionControllerTest, QueuedRequestExpiresBeforeItsDeadline) {
  TrainServiceTime(milliseconds(20));
  RequestAdmission(kClerks);
  const size_t queued = RequestAdmission(kClerks, milliseconds(50));
  EXPECT_EQ(m_results[queued], std::nullopt);
  m_timers.Advance(milliseconds(35));
  EXPECT_EQ(m_results[queued], AdmissionResult::kDeadlineTooShort);
  ReleaseRequest(kClerks, milliseconds(35));
  EXPECT_EQ(m_results[RequestAdmission(kClerks)], AdmissionResult::kAdmitted);
}

// Guards against queueing requests that cannot finish before their deadline.
TEST_F(AdmissionControllerTest, RefusesRequestsThatCannotMeetDeadline) {
  TrainServiceTime(milliseconds(20));
  EXPECT_EQ(m_results[RequestAdmission(kClerks, milliseconds(10))],
            AdmissionResult::kDeadlineTooShort);
  EXPECT_EQ(m_results[RequestAdmission(kClerks)], AdmissionResult::kAdmitted);
  EXPECT_EQ(m_results[RequestAdmission(kClerks, milliseconds(25))],
            AdmissionResult::kDeadlineTooShort);
  EXPECT_EQ(m_results[RequestAdmission(kClerks, Duration(0))],
            AdmissionResult::kDeadlineTooShort);
}

// Guards against a service time estimate that stays too high after a slow phase
// because every request is refused and none can lower it.
TEST_F(AdmissionControllerTest, RefusalsDoNotLastAfterSlowPhase) {
  TrainServiceTime(milliseconds(900));
  int refused = 0;
  while (m_results[RequestAdmission(kClerks, milliseconds(100))] !=
         AdmissionResult::kAdmitted) {
    ASSERT_LT(++refused, 50);
  }
}

// Guards against a burst of one team that starves another: with equal weights
// each gets half of the capacity, with weights 3 and 1 three quarters and one
// quarter.
TEST_F(AdmissionControllerTest, CompetingTeamsShareByWeight) {
  m_controller->SetPoolCapacity(kPool, 4);
  for (uint32_t weight : {1, 3}) {
    m_admitted.clear();
    for (int round = 0; round < 400; ++round) {
      for (int i = 0; i < 20; ++i) {
        RequestAdmission(kCouriers, seconds(10), 50, 1);
      }
      for (int i = 0; i < 4; ++i) {
        RequestAdmission(kClerks, seconds(10), 50, weight);
      }
      m_timers.Advance(milliseconds(10));
      // Requests finish in the order of their admission.
      for (int i = 0; i < 4; ++i) {
        const TeamId team = m_running.front();
        m_running.pop_front();
        ReleaseRequest(team, milliseconds(10));
      }
    }
    const double ratio = static_cast<double>(m_admitted[kClerks]) /
                         static_cast<double>(m_admitted[kCouriers]);
    EXPECT_GT(ratio, 0.9 * weight);
    EXPECT_LT(ratio, 1.1 * weight);
  }
}

// Guards against a limit that does not shrink under overload, falls below one
// or never recovers.
TEST_F(AdmissionControllerTest, LimitFollowsOverloadAndRecovers) {
  m_controller->SetPoolCapacity(kPool, 8);
  const auto admitted_at_once = [this] {
    int admitted = 0;
    while (m_results[RequestAdmission(kClerks, seconds(1), 0)] ==
           AdmissionResult::kAdmitted) {
      ++admitted;
    }
    return admitted;
  };
  const auto round = [&](bool overloaded) {
    const int admitted = admitted_at_once();
    m_timers.Advance(milliseconds(10));
    for (int i = 0; i < admitted; ++i) {
      ReleaseRequest(kClerks, milliseconds(10), overloaded);
    }
    return admitted;
  };
  EXPECT_EQ(round(false), 8);
  for (int i = 0; i < 100; ++i) {
    EXPECT_GE(round(true), 1);
  }
  EXPECT_EQ(round(true), 1);
  for (int i = 0; i < 200; ++i) {
    round(false);
  }
  EXPECT_EQ(round(false), 8);
}

// Guards against a standing queue that makes every request late: the newest
// request must be served first and the oldest refused before its deadline.
TEST_F(AdmissionControllerTest, StandingQueueServesNewestFirst) {
  TrainServiceTime(milliseconds(20));
  RequestAdmission(kClerks);
  std::vector<size_t> queued;
  for (int i = 0; i < 5; ++i) {
    queued.push_back(RequestAdmission(kClerks, milliseconds(400)));
  }
  m_timers.Advance(config::kQueueDelayInterval);
  for (size_t index : queued) {
    EXPECT_EQ(m_results[index], AdmissionResult::kQueueFull);
  }
  const size_t older = RequestAdmission(kClerks, milliseconds(400), 10, 1);
  const size_t newer = RequestAdmission(kClerks, milliseconds(400), 10, 1);
  ReleaseRequest(kClerks, milliseconds(20));
  EXPECT_EQ(m_results[newer], AdmissionResult::kAdmitted);
  m_timers.Advance(config::kQueueDelayTarget);
  EXPECT_EQ(m_results[older], AdmissionResult::kQueueFull);
}

// Guards against refusals under sustained overload that come only shortly
// before the deadline, when the caller can no longer use another instance.
TEST_F(AdmissionControllerTest, RefusesQuicklyUnderSustainedOverload) {
  TrainServiceTime(milliseconds(20));
  RequestAdmission(kClerks);
  std::vector<std::pair<size_t, TimePoint>> pending;
  for (int ms = 0; ms < 1000; ++ms) {
    pending.emplace_back(RequestAdmission(kClerks), m_timers.Now());
    m_timers.Advance(milliseconds(1));
    if (ms % 20 == 19) {
      ReleaseRequest(kClerks, milliseconds(20));
    }
    for (const auto& [index, requested_at] : pending) {
      const Duration waited = m_timers.Now() - requested_at;
      const Duration limit =
          ms < 200 ? config::kQueueDelayInterval : config::kQueueDelayTarget;
      if (waited > limit && !m_results[index]) {
        ADD_FAILURE() << "request " << index << " waits for " << waited.count()
                      << " us at " << ms << " ms";
      }
    }
    std::erase_if(pending, [this](const auto& entry) {
      return m_results[entry.first].has_value();
    });
  }
}

// Guards against requests that are decided twice or never and against more
// running requests than the capacity, for any sequence of calls.
RC_GTEST_PROP(AdmissionPropertyTest, EveryRequestIsDecidedOnce, ()) {
  ManualTimerService timers;
  auto controller = AdmissionController::Create(&timers);
  const auto capacity = *rc::gen::inRange<uint32_t>(1, 5);
  controller->SetPoolCapacity(kPool, capacity);
  const std::vector<TeamId> teams{kClerks, kCouriers};
  std::vector<uint32_t> running(2);
  std::vector<uint32_t> decided;
  const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
          rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
                         rc::gen::inRange(0, 50)));
  for (const auto& [action, team, value] : steps) {
    if (action == 0) {
      decided.push_back(0);
      controller->Request(
          {teams[team], kPool, 1, 3, timers.Now() + milliseconds(value)},
          [&running, &decided, team = team,
           index = decided.size() - 1](AdmissionResult result) {
            ++decided[index];
            running[team] += result == AdmissionResult::kAdmitted ? 1 : 0;
          });
    } else if (action == 1 && running[team] > 0) {
      --running[team];
      controller->Release(teams[team], kPool, milliseconds(value),
                          value % 7 == 0);
    } else {
      timers.Advance(milliseconds(value));
    }
    RC_ASSERT(running[0] + running[1] <= capacity);
  }
  timers.Advance(seconds(1));
  for (uint32_t count : decided) {
    RC_ASSERT(count == 1);
  }
}

// Guards against data races and lost results when requests, releases and expiry
// run concurrently (run under ThreadSanitizer).
TEST(AdmissionThreadsTest, EveryRequestIsDecidedOnceOverThreads) {
  ManualTimerService timers;
  auto controller = AdmissionController::Create(&timers);
  controller->SetPoolCapacity(kPool, 2);
  std::atomic<int> decided{0};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, team = TeamId(std::to_string(t % 2))] {
      for (int i = 0; i < 500; ++i) {
        controller->Request(
            {team, kPool, 1, 4, timers.Now() + milliseconds(20)},
            [&, team](AdmissionResult result) {
              ++decided;
              if (result == AdmissionResult::kAdmitted) {
                timers.SubscribeOnce(milliseconds(1), [&, team] {
                  controller->Release(team, kPool, milliseconds(1), false);
                });
              }
            });
        timers.Advance(milliseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  timers.Advance(seconds(1));
  EXPECT_EQ(decided, 2000);
}

}  // namespace
}  // namespace wasabihook
