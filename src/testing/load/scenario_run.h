#ifndef SRC_TESTING_LOAD_SCENARIO_RUN_H_
#define SRC_TESTING_LOAD_SCENARIO_RUN_H_

// PRIVATE HEADER. Runs one scenario against running daemons and fake backend
// servers.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "testing/load/deployment.h"
#include "testing/load/oracle.h"
#include "testing/load/run_result.h"
#include "testing/load/scenario.h"

namespace wasabihook::load {

struct RunOptions {
  Scenario scenario;
  std::map<std::string, IndexSetSize> sizes;
  std::string settings_name;
  std::string settings_text;
  std::vector<std::string> instances;     // Caller addresses of the daemons.
  std::vector<std::string> ready_checks;  // Addresses that answer /readyz.
  std::string platform;
  std::string backends;        // Address of the control API.
  std::vector<int> processes;  // Their CPU time is reported as the run's own.
  uint64_t seed = 0;
  size_t threads = 2;
  ServiceTime service;
  uint64_t records_per_group = 0;
  std::string crash_marker;
  // See ReferenceData.
  decltype(ReferenceData::rows) rows;
  decltype(ReferenceData::group_for) group_for;
};

// Blocks for the duration of the scenario. Throws std::runtime_error if the
// daemons do not become ready or the fake backend servers fail.
RunResult RunScenario(const RunOptions& options);

// Adds the faults of two other scenarios with the same deployment, selected at
// random by `seed`.
Scenario WithDrawnFaults(Scenario scenario,
                         const std::vector<Scenario>& others,
                         uint64_t seed);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SCENARIO_RUN_H_
