#ifndef SRC_TESTING_LOAD_REQUEST_PLAN_H_
#define SRC_TESTING_LOAD_REQUEST_PLAN_H_

// PRIVATE HEADER. Plans the requests of one run of a scenario.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "testing/load/deployment.h"
#include "testing/load/load_types.h"
#include "testing/load/scenario.h"

namespace wasabihook::load {

struct PlanOptions {
  uint64_t seed = 0;
  ServiceTime service;
  uint64_t records_per_group = 0;
  size_t instances = 0;
  // Query text that crashes the fake server that executes it.
  std::string crash_marker;
};

// Returns the requests in time order; times are relative to the start of the
// warm-up. The same options give the same requests. Throws std::runtime_error
// for index sets that are not in `sizes`.
std::vector<LoadRequest> PlanRequests(
    const Scenario& scenario,
    const std::map<std::string, IndexSetSize>& sizes,
    const PlanOptions& options);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_REQUEST_PLAN_H_
