#ifndef SRC_TESTING_LOAD_RUN_RESULT_H_
#define SRC_TESTING_LOAD_RUN_RESULT_H_

// PRIVATE HEADER. Result of one run of one scenario with one settings file, and
// its JSON form in the results directory.

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "testing/load/cpu_time.h"
#include "testing/load/oracle.h"
#include "testing/load/run_statistics.h"
#include "testing/load/scenario.h"

namespace wasabihook::load {

// A bound and the measured value that it limits.
struct BoundValue {
  Bound bound;
  double value = 0;
};

struct RunResult {
  std::string scenario;
  std::string title;
  std::string settings;  // Name of the settings file.
  uint64_t seed = 0;
  std::string date;  // UTC, RFC 3339.
  RunStatistics statistics;
  double extra_load = 0;
  size_t wrong = 0;
  // Recorded runs that answers were matched with; 0 if reads could not be
  // matched.
  size_t runs_checked = 0;
  CpuUtilisation busy;
  std::vector<BoundValue> bounds;
  std::vector<Finding> findings;  // Truncated; `wrong` counts all of them.
  std::vector<Sample> samples;
  // Number of responses by label, including all streams and the warm-up.
  std::map<std::string, size_t> responses;
};

nlohmann::json ToJson(const RunResult& result);
// Throws nlohmann::json::exception for other documents.
RunResult ResultFromJson(const nlohmann::json& json);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_RUN_RESULT_H_
