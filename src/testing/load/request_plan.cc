#include "testing/load/request_plan.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <stdexcept>

#include "testing/load/schedule.h"

namespace wasabihook::load {
namespace {

// Share of operations that are sent twice, as by a caller that retries after a
// lost response.
constexpr double kResendShare = 0.2;
constexpr Duration kResendDelay = std::chrono::milliseconds(60);

const IndexSetSize& SizeOf(const std::map<std::string, IndexSetSize>& sizes,
                           const std::string& index_set) {
  const auto found = sizes.find(index_set);
  if (found == sizes.end()) {
    throw std::runtime_error("the topology has no index set " + index_set);
  }
  return found->second;
}

class Planner {
 public:
  Planner(const Scenario& scenario,
          const std::map<std::string, IndexSetSize>& sizes,
          const PlanOptions& options)
      : m_scenario(scenario),
        m_sizes(sizes),
        m_options(options),
        m_random(options.seed) {}

  std::vector<LoadRequest> Plan() {
    for (const Arrival& arrival :
         PoissonSchedule(ArrivalPlans(), m_options.seed)) {
      AddArrival(arrival);
    }
    for (const Fault& fault : m_scenario.faults) {
      if (fault.action == "crash_request") {
        AddCrashRequests(fault);
      }
    }
    std::stable_sort(
        m_requests.begin(), m_requests.end(),
        [](const LoadRequest& a, const LoadRequest& b) { return a.at < b.at; });
    return std::move(m_requests);
  }

 private:
  std::vector<ArrivalPlan> ArrivalPlans() const {
    std::vector<ArrivalPlan> plans;
    for (size_t i = 0; i < m_scenario.loads.size(); ++i) {
      const LoadStream& load = m_scenario.loads[i];
      const double capacity =
          SizeOf(m_sizes, load.index_set).Capacity(m_options.service);
      const Duration warm_up = m_scenario.warm_up;
      plans.push_back({i, load.busy * capacity,
                       load.from ? warm_up + *load.from : Duration(0),
                       warm_up + load.to.value_or(m_scenario.length)});
    }
    return plans;
  }

  LoadRequest NewRequest(size_t stream) {
    const LoadStream& load = m_scenario.loads[stream];
    LoadRequest request;
    request.id = "r" + std::to_string(m_requests.size());
    request.stream = stream;
    request.team = load.team;
    request.index_set = load.index_set;
    request.deadline = load.deadline;
    request.payload = "find " + request.id;
    return request;
  }

  void AddArrival(const Arrival& arrival) {
    const LoadStream& load = m_scenario.loads[arrival.stream];
    LoadRequest request = NewRequest(arrival.stream);
    request.at = arrival.at;
    const double kind = std::uniform_real_distribution<double>(0, 1)(m_random);
    const uint64_t records =
        m_options.records_per_group * SizeOf(m_sizes, load.index_set).groups;
    const uint64_t record = m_random() % std::max<uint64_t>(1, records);
    const bool resent =
        std::uniform_real_distribution<double>(0, 1)(m_random) < kResendShare;
    if (kind < load.fetch_share + load.operation_share) {
      request.record_key = load.index_set + "-" + std::to_string(record);
      request.kind = kind < load.fetch_share ? RequestKind::kFetch
                                             : RequestKind::kOperation;
    }
    if (request.kind == RequestKind::kOperation) {
      request.idempotency_key = "op-" + request.id;
      request.repeated = resent;
    }
    m_requests.push_back(request);
    if (request.repeated) {
      request.id += "-again";
      request.at += kResendDelay;
      m_requests.push_back(std::move(request));
    }
  }

  // Sends one body repeatedly, through each instance in turn.
  void AddCrashRequests(const Fault& fault) {
    for (uint32_t i = 0; i < fault.servers; ++i) {
      LoadRequest request = NewRequest(0);
      request.id = "crash-" + std::to_string(i);
      request.index_set = fault.index_set;
      request.payload = "find " + m_options.crash_marker;
      request.repeated = true;
      request.at = m_scenario.warm_up + fault.at + fault.extra * i;
      request.instance = static_cast<int>(i % m_options.instances);
      m_requests.push_back(std::move(request));
    }
  }

  const Scenario& m_scenario;
  const std::map<std::string, IndexSetSize>& m_sizes;
  const PlanOptions& m_options;
  std::mt19937_64 m_random;
  std::vector<LoadRequest> m_requests;
};

}  // namespace

std::vector<LoadRequest> PlanRequests(
    const Scenario& scenario,
    const std::map<std::string, IndexSetSize>& sizes,
    const PlanOptions& options) {
  return Planner(scenario, sizes, options).Plan();
}

}  // namespace wasabihook::load
