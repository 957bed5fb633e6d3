#include "testing/load/scenario_run.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

#include "peers/platform/http_platform_client.h"
#include "testing/load/backends_control.h"
#include "testing/load/counter_timeline.h"
#include "testing/load/fault_runner.h"
#include "testing/load/http_call.h"
#include "testing/load/load_balancer.h"
#include "testing/load/load_generator.h"
#include "testing/load/measures.h"
#include "testing/load/request_plan.h"
#include "testing/load/settings_publisher.h"

namespace wasabihook::load {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Duration kReadyTimeout = std::chrono::seconds(30);
constexpr Duration kReadyPollInterval = std::chrono::milliseconds(100);
// Requests time out this long after their deadline, so that the latency of an
// answer that misses its bound is measured.
constexpr Duration kGracePeriod = std::chrono::seconds(3);
constexpr size_t kMaxReportedFindings = 20;

std::vector<std::string> TeamsOf(const Scenario& scenario) {
  std::set<std::string> teams;
  for (const LoadStream& load : scenario.loads) {
    teams.insert(load.team);
  }
  return {teams.begin(), teams.end()};
}

std::string UtcNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::string text(32, '\0');
  text.resize(
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return text;
}

// Waits until each instance answers a fetch from every index set under load,
// which implies that it has applied the settings.
void WaitForInstances(const RunOptions& options) {
  for (const std::string& instance : options.instances) {
    for (const LoadStream& load : options.scenario.loads) {
      const nlohmann::json body = {{"team", load.team},
                                   {"index_set", load.index_set},
                                   {"record_key", load.index_set + "-0"}};
      const auto limit = Clock::now() + kReadyTimeout;
      HttpCallResult result;
      while ((result = HttpCall("POST", "http://" + instance + "/v1/fetch",
                                body.dump(), std::chrono::seconds(2)))
                 .status != 200) {
        if (Clock::now() > limit) {
          throw std::runtime_error("instance " + instance + " is not ready: " +
                                   std::to_string(result.status) + " " +
                                   result.body);
        }
        std::this_thread::sleep_for(kReadyPollInterval);
      }
    }
  }
}

platform::PlatformClientOptions StoreOptions(const std::string& address) {
  platform::PlatformClientOptions options;
  options.address = address;
  return options;
}

// Minimum number of backend requests for the requests sent after the warm-up:
// one for each shard group asked, none for a refused request.
double MinBackendRequests(const RunOptions& options,
                          const std::vector<LoadRequest>& requests,
                          const std::vector<Sample>& samples) {
  double needed = 0;
  for (size_t i = 0; i < requests.size(); ++i) {
    if (samples[i].at >= Duration(0) &&
        samples[i].outcome != Outcome::kRefused && !requests[i].repeated) {
      // Prefers the count from the response, because repartitioning changes the
      // number of shard groups.
      const uint32_t groups =
          requests[i].kind == RequestKind::kSearch
              ? options.sizes.at(requests[i].index_set).groups
              : 1;
      needed += samples[i].groups > 0 ? samples[i].groups : groups;
    }
  }
  return needed;
}

// State of one run.
class Run {
 public:
  explicit Run(const RunOptions& options)
      : m_options(options),
        m_scenario(options.scenario),
        m_store(StoreOptions(options.platform)),
        m_backends(options.backends),
        m_publisher(&m_store,
                    &m_backends,
                    TeamsOf(options.scenario),
                    options.settings_text) {}

  RunResult Execute() {
    m_requests = PlanRequests(m_scenario, m_options.sizes,
                              {.seed = m_options.seed,
                               .service = m_options.service,
                               .records_per_group = m_options.records_per_group,
                               .instances = m_options.instances.size(),
                               .crash_marker = m_options.crash_marker});
    m_publisher.Publish();
    WaitForInstances(m_options);
    m_result.date = UtcNow();
    RunLoadPhase();
    FillResult();
    CheckAnswers();
    return std::move(m_result);
  }

 private:
  void RunLoadPhase() {
    LoadBalancer load_balancer(m_options.ready_checks);
    const auto start = Clock::now() + std::chrono::milliseconds(500);
    const auto measured = start + m_scenario.warm_up;
    CounterTimeline counts(&m_backends, measured);
    FaultRunner faults({.backends = &m_backends,
                        .publisher = &m_publisher,
                        .sizes = m_options.sizes,
                        .seed = m_options.seed,
                        .start = measured},
                       m_scenario.faults);
    const CpuTime before = ReadCpuTime(m_options.processes);
    m_responses =
        RunLoad({.instances = m_options.instances,
                 .threads = m_options.threads,
                 .grace_period = kGracePeriod,
                 .balance = [&] { return load_balancer.NextInstance(); },
                 .start = start},
                m_requests);
    m_result.busy =
        CpuUtilisationBetween(before, ReadCpuTime(m_options.processes));
    faults.Finish();
    counts.Finish();
    m_input.drained = faults.ServersWithAction("drain");
    m_input.cold = faults.ServersWithAction("return_cold");
    ComputeMeasures(counts);
  }

  void ComputeMeasures(const CounterTimeline& counts) {
    for (size_t i = 0; i < m_requests.size(); ++i) {
      m_samples.push_back(
          ToSample(m_requests[i], m_responses[i], m_scenario.warm_up));
      ++m_result.responses[ResponseLabel(m_responses[i])];
      if (m_scenario.loads[m_requests[i].stream].measured &&
          m_requests[i].instance < 0) {
        m_input.samples.push_back(m_samples.back());
      }
    }
    const LoadStream& first = m_scenario.loads.front();
    m_input.index_set = first.index_set;
    m_input.capacity =
        m_options.sizes.at(first.index_set).Capacity(m_options.service);
    m_input.length = m_scenario.length;
    m_input.counts = &counts;
    m_input.servers = m_backends.Servers();
    const double received = static_cast<double>(SumCounter(
                                counts.Last(), &ServerCounts::received)) -
                            counts.ReceivedAt(Duration(0));
    const double needed = MinBackendRequests(m_options, m_requests, m_samples);
    m_input.extra_load = needed > 0 ? received / needed : 0;
    for (const Bound& bound : m_scenario.bounds) {
      m_result.bounds.push_back({bound, Measure(bound, m_input)});
    }
  }

  void FillResult() {
    m_result.scenario = m_scenario.name;
    m_result.title = m_scenario.title;
    m_result.settings = m_options.settings_name;
    m_result.seed = m_options.seed;
    m_result.statistics =
        ComputeStatistics(m_input.samples, Duration(0), m_scenario.length);
    m_result.extra_load = m_input.extra_load;
    m_result.samples = m_input.samples;
  }

  void CheckAnswers() {
    ReferenceData reference;
    reference.published = m_publisher.published();
    m_backends.ReadRunLog(&reference);
    reference.rows = m_options.rows;
    reference.group_for = m_options.group_for;
    m_result.runs_checked =
        reference.reads_have_payload ? reference.runs.size() : 0;
    const Oracle oracle(std::move(reference));
    std::vector<Finding> findings;
    for (size_t i = 0; i < m_requests.size(); ++i) {
      oracle.Check(m_requests[i], m_responses[i], &findings);
    }
    oracle.CheckRuns(&findings);
    m_result.wrong = findings.size();
    findings.resize(std::min(findings.size(), kMaxReportedFindings));
    m_result.findings = std::move(findings);
    for (BoundValue& value : m_result.bounds) {
      if (value.bound.measure == "wrong") {
        value.value = static_cast<double>(m_result.wrong);
      }
    }
  }

  const RunOptions& m_options;
  const Scenario& m_scenario;
  platform::HttpPlatformClient m_store;
  const BackendsControl m_backends;
  SettingsPublisher m_publisher;
  std::vector<LoadRequest> m_requests;
  std::vector<Response> m_responses;
  std::vector<Sample> m_samples;
  MeasureInput m_input;
  RunResult m_result;
};

}  // namespace

RunResult RunScenario(const RunOptions& options) {
  return Run(options).Execute();
}

Scenario WithDrawnFaults(Scenario scenario,
                         const std::vector<Scenario>& others,
                         uint64_t seed) {
  std::vector<const Scenario*> with_faults;
  for (const Scenario& other : others) {
    if (!other.faults.empty() && !other.draw_two &&
        other.deployment == scenario.deployment) {
      with_faults.push_back(&other);
    }
  }
  std::mt19937_64 random(seed);
  std::shuffle(with_faults.begin(), with_faults.end(), random);
  for (size_t i = 0; i < std::min<size_t>(2, with_faults.size()); ++i) {
    const Scenario& drawn = *with_faults[i];
    scenario.title += (i == 0 ? ": " : ", ") + drawn.name;
    scenario.faults.insert(scenario.faults.end(), drawn.faults.begin(),
                           drawn.faults.end());
  }
  return scenario;
}

}  // namespace wasabihook::load
