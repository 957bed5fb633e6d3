// Simulation that compares replica choices, without a network. Instances that
// cannot observe each other's requests fan out to shard groups of two servers
// with two slots each. Prints latencies as multiples of the mean service time.
// Usage: replica_choice_benchmark [SEED]

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "testing/manual_timer_service.h"
#include "wasabihook/server_table.h"

namespace wasabihook {
namespace {

constexpr size_t kGroups = 20;
constexpr size_t kInstances = 8;
constexpr size_t kRequests = 10000;
constexpr double kMeanServiceMicros = 10000;
constexpr uint32_t kMaxQueueLength = 16;

struct Variant {
  const char* name;
  RoutingPolicy policy;
  bool hints = false;
};

struct Job {
  size_t request = 0;
  size_t instance = 0;
  size_t group = 0;
  ServerId server;
  TimePoint arrived;
  TimePoint sent;
};

struct Server {
  double slowdown = 1;
  uint32_t running = 0;
  std::deque<Job> queue;
};

class Simulation {
 public:
  Simulation(const Variant& variant,
             double load,
             double slowdown,
             uint64_t seed)
      : m_variant(variant),
        m_random(seed),
        m_pending_groups(kRequests, kGroups),
        m_latencies(kRequests) {
    for (size_t g = 0; g < kGroups; ++g) {
      m_groups.push_back({ShardGroupId(std::to_string(g)), 0, {}});
      for (size_t r = 0; r < 2; ++r) {
        m_groups[g].servers.push_back(
            {ServerId(std::to_string(2 * g + r)), DataCentreId("a")});
        m_servers.emplace_back();
      }
    }
    // One server out of 40 is slow.
    m_servers[0].slowdown = slowdown;
    for (size_t i = 0; i < kInstances; ++i) {
      m_tables.push_back(
          ServerTable::Create(&m_timers, MakeRandomSource(seed + i)));
      m_tables.back()->SetLiveInstances(kInstances);
      m_waiting.emplace_back(kGroups);
    }
    m_mean_gap_us = kMeanServiceMicros / (4 * load);
  }

  void Run() {
    ArriveRequest(0);
    m_timers.Advance(
        Duration(static_cast<int64_t>(m_mean_gap_us * kRequests * 3)));
    std::sort(m_latencies.begin(), m_latencies.end());
    std::printf("%-34s p50 %5.2f  p99 %6.2f  refused %5.2f %%\n",
                m_variant.name, m_latencies[kRequests / 2],
                m_latencies[kRequests * 99 / 100],
                100.0 * static_cast<double>(m_refused) / kRequests / kGroups);
  }

 private:
  void ArriveRequest(size_t request) {
    const size_t instance = m_random() % kInstances;
    for (size_t g = 0; g < kGroups; ++g) {
      SendSubRequest({request, instance, g, {}, m_timers.Now(), {}});
    }
    if (request + 1 < kRequests) {
      std::exponential_distribution<double> gap(1 / m_mean_gap_us);
      ScheduleAfter(gap(m_random),
                    [this, request] { ArriveRequest(request + 1); });
    }
  }

  void SendSubRequest(Job job) {
    auto server = m_tables[job.instance]->Acquire(m_groups[job.group], {},
                                                  m_variant.policy, {});
    if (!server) {
      m_waiting[job.instance][job.group].push_back(std::move(job));
      return;
    }
    job.server = *server;
    job.sent = m_timers.Now();
    Server& target = ServerById(job.server);
    if (target.running < 2) {
      Start(std::move(job));
    } else if (target.queue.size() < kMaxQueueLength) {
      target.queue.push_back(std::move(job));
    } else {
      ++m_refused;
      Finish(job, SubOutcome::kOverloaded);
      ScheduleAfter(kMeanServiceMicros / 5,
                    [this, job] { SendSubRequest(job); });
    }
  }

  void Start(Job job) {
    Server& server = ServerById(job.server);
    ++server.running;
    // Log-normal with mean 1; the logarithm has standard deviation 0.5.
    std::lognormal_distribution<double> service(-0.125, 0.5);
    ScheduleAfter(
        service(m_random) * kMeanServiceMicros * server.slowdown, [this, job] {
          Server& server = ServerById(job.server);
          --server.running;
          if (!server.queue.empty()) {
            Job next = std::move(server.queue.front());
            server.queue.pop_front();
            Start(std::move(next));
          }
          if (--m_pending_groups[job.request] == 0) {
            m_latencies[job.request] =
                static_cast<double>((m_timers.Now() - job.arrived).count()) /
                kMeanServiceMicros;
          }
          Finish(job, SubOutcome::kOk);
        });
  }

  void Finish(const Job& job, SubOutcome outcome) {
    SubReply reply;
    reply.outcome = outcome;
    const Server& server = ServerById(job.server);
    if (m_variant.hints) {
      reply.load = LoadHint{server.running,
                            static_cast<uint32_t>(server.queue.size()), false};
    }
    m_tables[job.instance]->Release(job.server, reply,
                                    m_timers.Now() - job.sent);
    std::deque<Job>& waiting = m_waiting[job.instance][job.group];
    if (!waiting.empty()) {
      Job next = std::move(waiting.front());
      waiting.pop_front();
      SendSubRequest(std::move(next));
    }
  }

  void ScheduleAfter(double micros, std::function<void()> callback) {
    m_timers.SubscribeOnce(Duration(static_cast<int64_t>(micros)),
                           std::move(callback));
  }

  Server& ServerById(const ServerId& id) {
    return m_servers[std::strtoul(id.value().c_str(), nullptr, 10)];
  }

  const Variant& m_variant;
  testing::ManualTimerService m_timers;
  std::mt19937_64 m_random;
  std::vector<size_t> m_pending_groups;
  std::vector<double> m_latencies;
  std::vector<ShardGroup> m_groups;
  std::vector<Server> m_servers;
  std::vector<std::unique_ptr<ServerTable>> m_tables;
  std::vector<std::vector<std::deque<Job>>> m_waiting;
  double m_mean_gap_us = 0;
  size_t m_refused = 0;
};

void RunAll(uint64_t seed) {
  using enum ReplicaChoice;
  const std::vector<Variant> variants{
      {"random", {kRandom, false, false}},
      {"least outstanding", {kLeastOutstanding, false, false}},
      {"latency x outstanding", {kLatencyOutstanding, false, false}},
      {"latency x outstanding, hints",
       {kLatencyOutstanding, false, false},
       true},
      {"the same with limits", {kLatencyOutstanding, false, true}, true},
      {"the same with limits and ejection",
       {kLatencyOutstanding, true, true},
       true},
  };
  for (double slowdown : {1.0, 3.0}) {
    for (double load : {0.3, 0.5, 0.6}) {
      std::printf("load %.1f, one server of 40 slower by %.0f\n", load,
                  slowdown);
      for (const Variant& variant : variants) {
        Simulation(variant, load, slowdown, seed).Run();
      }
    }
  }
}

}  // namespace
}  // namespace wasabihook

int main(int argc, char** argv) {
  wasabihook::RunAll(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
  return 0;
}
