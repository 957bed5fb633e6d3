#include "testing/load/fault_runner.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <random>
#include <stdexcept>
#include <utility>

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Request body for the control API's /faults; null if the action is not a
// server fault.
Json ServerFaultJson(const Fault& fault) {
  const std::string& action = fault.action;
  if (action == "slow") {
    return {{"slow_ms", Ms(fault.extra)}};
  }
  if (action == "straggle") {
    return {{"straggle_share", fault.share}, {"straggle_ms", Ms(fault.extra)}};
  }
  if (action == "lose") {
    return {{"lost", true}};
  }
  if (action == "return") {
    return {{"lost", false}};
  }
  if (action == "return_cold") {
    return {{"lost", false},
            {"cold_factor", fault.factor},
            {"cold_ms", Ms(fault.extra)}};
  }
  if (action == "silence") {
    return {{"silent", true}};
  }
  if (action == "drain") {
    return {{"draining", true}};
  }
  if (action == "claim_idle") {
    return {
        {"claimed_state", "ok"}, {"claimed_running", 0}, {"claimed_queued", 0}};
  }
  if (action == "claim_busy") {
    constexpr int kClaimedLoad = 50;
    return {{"claimed_state", "ok"},
            {"claimed_running", kClaimedLoad},
            {"claimed_queued", kClaimedLoad}};
  }
  return nullptr;
}

}  // namespace

std::vector<ControlledServer> DrawServers(
    const std::vector<ControlledServer>& servers,
    const Fault& fault,
    uint64_t seed) {
  std::vector<ControlledServer> matching;
  std::copy_if(servers.begin(), servers.end(), std::back_inserter(matching),
               [&](const ControlledServer& server) {
                 return (fault.index_set.empty() ||
                         server.index_set == fault.index_set) &&
                        (fault.data_centre.empty() ||
                         server.data_centre == fault.data_centre);
               });
  if (fault.servers == 0 || fault.servers >= matching.size()) {
    return matching;
  }
  const std::string name = fault.index_set + "\n" + fault.data_centre;
  std::mt19937_64 random(XXH64(name.data(), name.size(), seed));
  std::shuffle(matching.begin(), matching.end(), random);
  matching.resize(fault.servers);
  return matching;
}

FaultRunner::FaultRunner(FaultRunnerOptions options, std::vector<Fault> faults)
    : m_options(std::move(options)),
      m_faults(std::move(faults)),
      m_servers(m_options.backends->Servers()) {
  std::stable_sort(m_faults.begin(), m_faults.end(),
                   [](const Fault& a, const Fault& b) { return a.at < b.at; });
  m_thread = std::thread([this] { Run(); });
}

FaultRunner::~FaultRunner() {
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void FaultRunner::Finish() {
  m_thread.join();
  if (!m_error.empty()) {
    throw std::runtime_error(m_error);
  }
}

std::vector<std::string> FaultRunner::ServersWithAction(
    const std::string& action) const {
  std::vector<std::string> names;
  for (const Fault& fault : m_faults) {
    if (fault.action == action) {
      for (const auto& server : DrawServers(m_servers, fault, m_options.seed)) {
        names.push_back(server.server);
      }
    }
  }
  return names;
}

void FaultRunner::Run() {
  try {
    for (const Fault& fault : m_faults) {
      std::this_thread::sleep_until(m_options.start + fault.at);
      Apply(fault);
    }
  } catch (const std::exception& error) {
    m_error = error.what();
  }
}

void FaultRunner::Apply(const Fault& fault) {
  if (fault.action == "crash_request") {
    return;  // Sent by the load generator as part of the request plan.
  }
  if (fault.action == "roll") {
    m_options.backends->RollIndex(fault.index_set, m_index_version + 1,
                                  fault.data_centre);
  } else if (fault.action == "repartition") {
    const double groups =
        m_options.sizes.at(fault.index_set).groups * fault.factor;
    m_options.backends->Repartition(fault.index_set,
                                    static_cast<uint32_t>(std::lround(groups)));
  } else if (fault.action == "publish") {
    m_options.publisher->Publish();
    ++m_index_version;
  } else {
    ApplyToServers(fault);
  }
}

void FaultRunner::ApplyToServers(const Fault& fault) {
  const Json change = ServerFaultJson(fault);
  if (change.is_null()) {
    throw std::runtime_error("unknown fault action " + fault.action);
  }
  for (const auto& server : DrawServers(m_servers, fault, m_options.seed)) {
    m_options.backends->SetFaults(server.server, change);
  }
}

}  // namespace wasabihook::load
