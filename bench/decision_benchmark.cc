// Measures routing decisions on one thread: one replica choice, the choices for
// a complete plan, and scaling with the number of known servers.

#include <benchmark/benchmark.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/rendezvous.h"
#include "decision/routing/retry_budget.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/server_table.h"

namespace wasabihook {
namespace {

std::vector<ShardGroup> MakeGroups(size_t groups, size_t replicas) {
  std::vector<ShardGroup> result(groups);
  for (size_t g = 0; g < groups; ++g) {
    result[g].id = ShardGroupId(std::to_string(g));
    for (size_t r = 0; r < replicas; ++r) {
      result[g].servers.push_back(
          {ServerId("10." + std::to_string(r) + "." + std::to_string(g / 250) +
                    "." + std::to_string(g % 250) + ":7000"),
           DataCentreId("bay-a")});
    }
  }
  return result;
}

class TableFixture {
 public:
  explicit TableFixture(size_t known_groups, size_t replicas = 2)
      : m_groups(MakeGroups(known_groups, replicas)) {
    m_reply.outcome = SubOutcome::kOk;
    for (int round = 0; round < 20; ++round) {
      RunPlan(m_groups.size());
      m_timers.Advance(std::chrono::seconds(1));
    }
    RunPlan(m_groups.size());
  }

  // Acquires one server for each of the first `groups` groups, then releases
  // them.
  void RunPlan(size_t groups) {
    m_acquired.clear();
    for (size_t g = 0; g < groups; ++g) {
      m_acquired.push_back(
          m_table->Acquire(m_groups[g], m_limits, m_policy, {}));
    }
    m_timers.Advance(std::chrono::milliseconds(5));
    for (const std::optional<ServerId>& server : m_acquired) {
      m_table->Release(*server, m_reply, std::chrono::milliseconds(5));
    }
  }

  testing::ManualTimerService m_timers;
  std::unique_ptr<ServerTable> m_table =
      ServerTable::Create(&m_timers, MakeRandomSource(1));
  std::vector<ShardGroup> m_groups;
  std::vector<std::optional<ServerId>> m_acquired;
  ServerLimits m_limits;
  RoutingPolicy m_policy;
  SubReply m_reply;
};

// One Acquire() and Release() in a group of range(0) replicas.
void ChooseReplica(benchmark::State& state) {
  TableFixture table(1, static_cast<size_t>(state.range(0)));
  for (auto _ : state) {
    auto server = table.m_table->Acquire(table.m_groups[0], table.m_limits,
                                         table.m_policy, {});
    table.m_table->Release(*server, table.m_reply,
                           std::chrono::milliseconds(5));
  }
}
BENCHMARK(ChooseReplica)->Arg(2)->Arg(3)->Arg(5);

// Acquire() and Release() for a plan of range(0) groups, with range(1) groups
// of two servers known to the table.
void Plan(benchmark::State& state) {
  TableFixture table(static_cast<size_t>(state.range(1)));
  for (auto _ : state) {
    table.RunPlan(static_cast<size_t>(state.range(0)));
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(Plan)
    ->Args({20, 20})
    ->Args({470, 470})
    ->Args({470, 2000})
    ->Args({470, 10000});

void HedgeObserveAndDelay(benchmark::State& state) {
  auto policy = HedgePolicy::Create();
  const ShardGroupKey key{TeamId("clerks"), IndexSetId("lab-ledger"),
                          ShardGroupId("17")};
  int64_t latency = 5000;
  for (auto _ : state) {
    policy->Observe(key, Duration(latency));
    benchmark::DoNotOptimize(policy->DelayFor(key, false));
    latency = 5000 + (latency * 31) % 7000;
  }
}
BENCHMARK(HedgeObserveAndDelay);

void SpendBudget(benchmark::State& state) {
  auto budget = RetryBudget::Create();
  const TeamId team("clerks");
  for (auto _ : state) {
    budget->OnFirstAttempt(team, Fraction{0.05});
    benchmark::DoNotOptimize(budget->TrySpendForHedge(team));
  }
}
BENCHMARK(SpendBudget);

void AdmitAndRelease(benchmark::State& state) {
  testing::ManualTimerService timers;
  auto controller = AdmissionController::Create(&timers);
  const TeamId team("clerks");
  const IndexSetId pool("lab-ledger");
  for (auto _ : state) {
    controller->Request(
        {team, pool, 1, 10, timers.Now() + std::chrono::seconds(1)},
        [](AdmissionResult) {});
    controller->Release(team, pool, std::chrono::milliseconds(20), false);
  }
}
BENCHMARK(AdmitAndRelease);

// Selects two winners out of range(0) candidates.
void ChooseTwoWinners(benchmark::State& state) {
  std::vector<std::string> names;
  for (int64_t i = 0; i < state.range(0); ++i) {
    names.push_back("instance-" + std::to_string(i));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(RendezvousTopK("10.0.0.1:7000", names, 2));
  }
}
BENCHMARK(ChooseTwoWinners)->Arg(8)->Arg(450);

}  // namespace
}  // namespace wasabihook

BENCHMARK_MAIN();
