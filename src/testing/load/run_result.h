#ifndef SRC_TESTING_LOAD_RUN_RESULT_H_
#define SRC_TESTING_LOAD_RUN_RESULT_H_

// PRIVATE HEADER. Result of one run of one scenario with one settings file, as
// it is kept between the runs and the report.

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

// A bound and the figure that it limits.
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
  // Runs on record that the oracle matched answers with.
  size_t runs_checked = 0;
  CpuUtilisation busy;
  std::vector<BoundValue> bounds;
  std::vector<Finding> findings;  // The first ones.
  std::vector<Sample> samples;
  // Responses of each kind, all streams and the warm-up included.
  std::map<std::string, size_t> responses;
};

nlohmann::json ToJson(const RunResult& result);
// Throws nlohmann::json::exception for other documents.
RunResult ResultFromJson(const nlohmann::json& json);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_RUN_RESULT_H_
