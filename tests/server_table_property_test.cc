#include "wasabihook/server_table.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "decision/routing/replica_choice.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using testing::ManualTimerService;

constexpr SubOutcome kOutcomes[] = {
    SubOutcome::kOk,
    SubOutcome::kOk,
    SubOutcome::kOverloaded,
    SubOutcome::kConnectFailed,
    SubOutcome::kServerError,
    SubOutcome::kTimedOut,
    SubOutcome::kDraining,
    SubOutcome::kSnapshotNotServed,
    SubOutcome::kConnectionLost,
    SubOutcome::kCancelled,
};

struct Taken {
  ServerId server;
  TimePoint sent;
};

ShardGroup MakeGroup(size_t servers) {
  ShardGroup group;
  group.id = ShardGroupId("0");
  for (size_t i = 0; i < servers; ++i) {
    group.servers.push_back(
        {ServerId("10.0.0." + std::to_string(i) + ":1"), DataCentreId("a")});
  }
  return group;
}

size_t CountEjected(const ServerTable& table) {
  const std::vector<ServerStatus> status = table.Status();
  return static_cast<size_t>(
      std::count_if(status.begin(), status.end(),
                    [](const ServerStatus& s) { return s.ejected; }));
}

// One random walk over a table: acquire, release with any outcome, drain, wait.
class Walk {
 public:
  explicit Walk(size_t servers) : m_group(MakeGroup(servers)) {}

  void Step(int action, int pick, int delay_ms) {
    if (action < 4) {
      if (auto server = m_table->Acquire(m_group, m_shape, m_policy, {})) {
        m_taken.push_back({*server, m_timers.Now()});
      }
    } else if (action < 8 && !m_taken.empty()) {
      ReleaseOne(static_cast<size_t>(pick) % m_taken.size(),
                 kOutcomes[pick % std::size(kOutcomes)]);
    } else if (action == 8) {
      const size_t server = static_cast<size_t>(pick) % m_group.servers.size();
      m_table->MarkDraining(m_group.servers[server].id,
                            static_cast<DrainSource>(pick % 4));
    }
    m_timers.Advance(milliseconds(delay_ms));
  }

  void ReleaseOne(size_t position, SubOutcome outcome) {
    const Taken taken = m_taken[position];
    m_taken.erase(m_taken.begin() + static_cast<ptrdiff_t>(position));
    SubReply reply;
    reply.outcome = outcome;
    m_table->Release(taken.server, reply, m_timers.Now() - taken.sent);
  }

  std::map<ServerId, uint32_t> Outstanding() const {
    std::map<ServerId, uint32_t> outstanding;
    for (const Taken& taken : m_taken) {
      ++outstanding[taken.server];
    }
    return outstanding;
  }

  ManualTimerService m_timers;
  std::unique_ptr<ServerTable> m_table =
      ServerTable::Create(&m_timers, MakeRandomSource(3));
  ShardGroup m_group;
  ServerLimits m_shape;
  RoutingPolicy m_policy;
  std::vector<Taken> m_taken;
};

using Steps = std::vector<std::tuple<int, int, int>>;

Steps AnySteps() {
  return *rc::gen::scale(
      4.0, rc::gen::container<Steps>(
               rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000),
                              rc::gen::element(0, 1, 5, 50, 3000))));
}

// Guards against failures of all replicas that empty a group: the ceiling on
// ejected servers holds after any sequence of outcomes.
RC_GTEST_PROP(ServerTableProperty, NeverEjectsMoreThanCeiling, ()) {
  const auto servers = *rc::gen::inRange<size_t>(1, 7);
  Walk walk(servers);
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    RC_ASSERT(CountEjected(*walk.m_table) <= MaxEjected(servers));
  }
}

// Guards against outstanding counts that leak or exceed the limit, which would
// starve or overload a server for good.
RC_GTEST_PROP(ServerTableProperty, OutstandingMatchesAcquiredWork, ()) {
  Walk walk(*rc::gen::inRange<size_t>(1, 5));
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    auto outstanding = walk.Outstanding();
    for (const ServerStatus& status : walk.m_table->Status()) {
      RC_ASSERT(status.outstanding == outstanding[status.id]);
      RC_ASSERT(status.concurrency_limit >= 1U);
      RC_ASSERT(status.concurrency_limit <=
                walk.m_shape.slots + config::kMaxServerQueueLength);
    }
  }
  while (!walk.m_taken.empty()) {
    walk.ReleaseOne(0, SubOutcome::kOk);
  }
  for (const ServerStatus& status : walk.m_table->Status()) {
    RC_ASSERT(status.outstanding == 0U);
  }
}

// Guards against states without a way back: whatever happened, every server is
// used again after it has answered well for a while.
RC_GTEST_PROP(ServerTableProperty, EveryServerReturnsToUse, ()) {
  Walk walk(*rc::gen::inRange<size_t>(1, 5));
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
  }
  while (!walk.m_taken.empty()) {
    walk.ReleaseOne(0, SubOutcome::kOk);
  }
  std::map<ServerId, uint32_t> served;
  walk.m_policy.choice = ReplicaChoice::kRandom;
  for (int i = 0; i < 300; ++i) {
    walk.m_timers.Advance(milliseconds(1000));
    walk.Step(0, 0, 5);
    if (!walk.m_taken.empty()) {
      ++served[walk.m_taken.front().server];
      walk.ReleaseOne(0, SubOutcome::kOk);
    }
  }
  for (const BackendServer& server : walk.m_group.servers) {
    RC_ASSERT(served[server.id] > 5U);
  }
  RC_ASSERT(CountEjected(*walk.m_table) == 0U);
}

// Guards against work for a draining or excluded server, and against results
// that depend on anything but the seed and the clock.
RC_GTEST_PROP(ServerTableProperty, ObeysExclusionAndIsDeterministic, ()) {
  const auto servers = *rc::gen::inRange<size_t>(2, 6);
  Walk walk(servers);
  Walk twin(servers);
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    twin.Step(action, pick, delay);
    RC_ASSERT(walk.Outstanding() == twin.Outstanding());
  }
  const ServerId excluded = walk.m_group.servers[0].id;
  const auto status = walk.m_table->Status();
  for (int i = 0; i < 10; ++i) {
    const auto server = walk.m_table->Acquire(walk.m_group, walk.m_shape,
                                              walk.m_policy, {excluded});
    RC_ASSERT(server != excluded);
    for (const ServerStatus& known : status) {
      RC_ASSERT(!known.draining || known.id != server);
    }
  }
}

// Guards against races (run under ThreadSanitizer) that leak outstanding work
// or eject more servers than the ceiling when calls run at once.
TEST(ServerTableThreadsTest, ConcurrentCallsKeepTheBounds) {
  ManualTimerService timers;
  auto table = ServerTable::Create(&timers, MakeRandomSource(5));
  const ShardGroup group = MakeGroup(4);
  std::atomic<bool> exceeded{false};
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 1000; ++i) {
        if (auto server = table->Acquire(group, {}, {}, {})) {
          timers.Advance(milliseconds(1));
          SubReply reply;
          reply.outcome =
              (i + t) % 3 == 0 ? SubOutcome::kOk : SubOutcome::kConnectFailed;
          table->Release(*server, reply, milliseconds(1));
        }
        exceeded = exceeded || CountEjected(*table) > MaxEjected(4);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_FALSE(exceeded);
  for (const ServerStatus& status : table->Status()) {
    EXPECT_EQ(status.outstanding, 0);
  }
}

}  // namespace
}  // namespace wasabihook
