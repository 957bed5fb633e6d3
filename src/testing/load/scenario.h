#ifndef SRC_TESTING_LOAD_SCENARIO_H_
#define SRC_TESTING_LOAD_SCENARIO_H_

// PRIVATE HEADER. Scenario files of wasabihook-bench, bench/scenarios/*.toml.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::load {

// A stream of requests from one team to one index set.
struct LoadStream {
  std::string team;
  std::string index_set;
  // Offered load as a share of the index set's slots at the mean service time.
  double busy = 0;
  double fetch_share = 0;
  double operation_share = 0;
  Duration deadline{0};
  // Whether the stream counts in the run's statistics.
  bool measured = true;
  // Relative to the end of the warm-up; negative during the warm-up.
  std::optional<Duration> from;
  std::optional<Duration> to;
};

// One change to the fake servers or to the settings during the run.
struct Fault {
  Duration at{0};  // Relative to the end of the warm-up; may be negative.
  std::string action;
  std::string index_set;
  // Number of servers, selected at random by the seed; 0 means all servers (of
  // `data_centre`). For crash_request, the number of transmissions.
  uint32_t servers = 0;
  std::string data_centre;
  double share = 0;
  Duration extra{0};
  double factor = 1;
};

// One bound on a measure of a run with the product settings.
struct Bound {
  std::string measure;
  bool at_least = false;  // Lower bound if true, else upper bound.
  double limit = 0;
  // Run whose value `limit` is a multiple of: "baseline" for this scenario with
  // the baseline settings, or the name of another scenario for its product run.
  // Empty if the limit is absolute.
  std::string relative_to;
  // Time window of the samples; the whole measured time if absent.
  std::optional<Duration> from;
  std::optional<Duration> to;
};

struct Scenario {
  std::string name;
  std::string title;
  // Topology to run against, bench/topology/<deployment>.toml.
  std::string deployment;
  Duration warm_up{0};
  Duration length{0};
  std::vector<LoadStream> loads;
  std::vector<Fault> faults;
  std::vector<Bound> bounds;
  // Adds the faults of two other scenarios, selected at random by the seed.
  bool draw_two = false;
};

// Both throw std::runtime_error with the file and the problem. Unknown keys are
// errors.
Scenario ReadScenario(const std::string& path);
Scenario ParseScenario(const std::string& text, const std::string& source);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SCENARIO_H_
