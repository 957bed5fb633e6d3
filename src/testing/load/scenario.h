#ifndef SRC_TESTING_LOAD_SCENARIO_H_
#define SRC_TESTING_LOAD_SCENARIO_H_

// PRIVATE HEADER. Scenario files of the experiment tool, bench/*.toml.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::load {

// One stream of requests of one team.
struct LoadStream {
  std::string team;
  std::string index_set;
  // Offered load as a share of the index set's slots at the mean service time.
  double busy = 0;
  double fetch_share = 0;
  double operation_share = 0;
  Duration deadline{0};
  // Counted in the scenario's figures.
  bool measured = true;
  // From the start of the measured part; negative during the warm-up.
  std::optional<Duration> from;
  std::optional<Duration> to;
};

// One change to the fakes or the settings during the run.
struct Fault {
  Duration at{0};  // From the start of the measured part; may be negative.
  std::string action;
  std::string index_set;
  // Servers it applies to, drawn by seed, or sends of a request; 0 means all
  // servers (of `data_centre`).
  uint32_t servers = 0;
  std::string data_centre;
  double share = 0;
  Duration extra{0};
  double factor = 1;
};

// One bound on a figure of the product's run.
struct Bound {
  std::string measure;
  bool at_least = false;  // Else at most.
  double limit = 0;
  // Figure that `limit` is a multiple of: "baseline", or another scenario's
  // name for its product run; empty if the limit is absolute.
  std::string relative_to;
  // Part of the measured time that counts; whole if absent.
  std::optional<Duration> from;
  std::optional<Duration> to;
};

struct Scenario {
  std::string name;
  std::string title;
  // Topology that it runs against, bench/topology/<deployment>.toml.
  std::string deployment;
  Duration warm_up{0};
  Duration length{0};
  std::vector<LoadStream> loads;
  std::vector<Fault> faults;
  std::vector<Bound> bounds;
  // Two fault sets of other scenarios, drawn by seed, are added.
  bool draw_two = false;
};

// Throws std::runtime_error naming the file and the problem; an unknown key is
// one.
Scenario ReadScenario(const std::string& path);
Scenario ParseScenario(const std::string& text, const std::string& source);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SCENARIO_H_
