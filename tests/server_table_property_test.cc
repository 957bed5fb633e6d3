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

struct AcquiredWork {
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

// Random walk over the operations of a table: acquire, release with any
// outcome, mark draining, advance time.
class RandomWalk {
 public:
  explicit RandomWalk(size_t servers) : m_group(MakeGroup(servers)) {}

  void Step(int action, int pick, int delay_ms) {
    if (action < 4) {
      if (auto server =
              m_table->Acquire(m_group, m_server_limits, m_policy, {})) {
        m_acquired.push_back({*server, m_timers.Now()});
      }
    } else if (action < 8 && !m_acquired.empty()) {
      ReleaseOne(static_cast<size_t>(pick) % m_acquired.size(),
                 kOutcomes[pick % std::size(kOutcomes)]);
    } else if (action == 8) {
      const size_t server = static_cast<size_t>(pick) % m_group.servers.size();
      m_table->MarkDraining(m_group.servers[server].id,
                            static_cast<DrainSource>(pick % 4));
    }
    m_timers.Advance(milliseconds(delay_ms));
  }

  void ReleaseOne(size_t position, SubOutcome outcome) {
    const AcquiredWork acquired = m_acquired[position];
    m_acquired.erase(m_acquired.begin() + static_cast<ptrdiff_t>(position));
    SubReply reply;
    reply.outcome = outcome;
    m_table->Release(acquired.server, reply, m_timers.Now() - acquired.sent);
  }

  std::map<ServerId, uint32_t> Outstanding() const {
    std::map<ServerId, uint32_t> outstanding;
    for (const AcquiredWork& acquired : m_acquired) {
      ++outstanding[acquired.server];
    }
    return outstanding;
  }

  ManualTimerService m_timers;
  std::unique_ptr<ServerTable> m_table =
      ServerTable::Create(&m_timers, MakeRandomSource(3));
  ShardGroup m_group;
  ServerLimits m_server_limits;
  RoutingPolicy m_policy;
  std::vector<AcquiredWork> m_acquired;
};

using Steps = std::vector<std::tuple<int, int, int>>;

Steps AnySteps() {
  return *rc::gen::scale(
      4.0, rc::gen::container<Steps>(
               rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000),
                              rc::gen::element(0, 1, 5, 50, 3000))));
}

// Guards against ejecting all servers of a group: the limit on ejected servers
// holds after any sequence of outcomes.
RC_GTEST_PROP(ServerTableProperty, NeverEjectsMoreThanCeiling, ()) {
  const auto servers = *rc::gen::inRange<size_t>(1, 7);
  RandomWalk walk(servers);
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    RC_ASSERT(CountEjected(*walk.m_table) <= MaxEjected(servers));
  }
}

// Guards against outstanding counts that leak or exceed the limit, which would
// permanently starve or overload a server.
RC_GTEST_PROP(ServerTableProperty, OutstandingMatchesAcquiredWork, ()) {
  RandomWalk walk(*rc::gen::inRange<size_t>(1, 5));
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    auto outstanding = walk.Outstanding();
    for (const ServerStatus& status : walk.m_table->Status()) {
      RC_ASSERT(status.outstanding == outstanding[status.id]);
      RC_ASSERT(status.concurrency_limit >= 1U);
      RC_ASSERT(status.concurrency_limit <=
                walk.m_server_limits.slots + config::kMaxServerQueueLength);
    }
  }
  while (!walk.m_acquired.empty()) {
    walk.ReleaseOne(0, SubOutcome::kOk);
  }
  for (const ServerStatus& status : walk.m_table->Status()) {
    RC_ASSERT(status.outstanding == 0U);
  }
}

// Guards against states that a server can't leave: after any sequence of
// outcomes it is used again once it has replied successfully for a while.
RC_GTEST_PROP(ServerTableProperty, EveryServerReturnsToUse, ()) {
  RandomWalk walk(*rc::gen::inRange<size_t>(1, 5));
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
  }
  while (!walk.m_acquired.empty()) {
    walk.ReleaseOne(0, SubOutcome::kOk);
  }
  std::map<ServerId, uint32_t> served;
  walk.m_policy.choice = ReplicaChoice::kRandom;
  for (int i = 0; i < 300; ++i) {
    walk.m_timers.Advance(milliseconds(1000));
    walk.Step(0, 0, 5);
    if (!walk.m_acquired.empty()) {
      ++served[walk.m_acquired.front().server];
      walk.ReleaseOne(0, SubOutcome::kOk);
    }
  }
  for (const BackendServer& server : walk.m_group.servers) {
    RC_ASSERT(served[server.id] > 5U);
  }
  RC_ASSERT(CountEjected(*walk.m_table) == 0U);
}

// Guards against work for a draining or excluded server, and against results
// that don't depend on the seed and the clock alone.
RC_GTEST_PROP(ServerTableProperty, ObeysExclusionAndIsDeterministic, ()) {
  const auto servers = *rc::gen::inRange<size_t>(2, 6);
  RandomWalk walk(servers);
  RandomWalk twin(servers);
  for (const auto& [action, pick, delay] : AnySteps()) {
    walk.Step(action, pick, delay);
    twin.Step(action, pick, delay);
    RC_ASSERT(walk.Outstanding() == twin.Outstanding());
  }
  const ServerId excluded = walk.m_group.servers[0].id;
  const auto status = walk.m_table->Status();
  for (int i = 0; i < 10; ++i) {
    const auto server = walk.m_table->Acquire(
        walk.m_group, walk.m_server_limits, walk.m_policy, {excluded});
    RC_ASSERT(server != excluded);
    for (const ServerStatus& known : status) {
      RC_ASSERT(!known.draining || known.id != server);
    }
  }
}

// Guards against data races (run under ThreadSanitizer) and, under concurrent
// calls, against leaked outstanding counts and more ejections than allowed.
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
