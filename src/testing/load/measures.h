#ifndef SRC_TESTING_LOAD_MEASURES_H_
#define SRC_TESTING_LOAD_MEASURES_H_

// PRIVATE HEADER. Measures that the bounds of a scenario refer to.

#include <cstddef>
#include <string>
#include <vector>

#include "testing/load/backends_control.h"
#include "testing/load/counter_timeline.h"
#include "testing/load/run_statistics.h"
#include "testing/load/scenario.h"

namespace wasabihook::load {

// Data from which the measures are computed.
struct MeasureInput {
  std::vector<Sample> samples;  // Of the measured streams only.
  Duration length{0};
  const CounterTimeline* counts = nullptr;
  std::vector<ControlledServer> servers;
  std::vector<std::string> drained;
  std::vector<std::string> cold;
  std::string index_set;  // Of the first stream.
  double capacity = 0;    // Searches per second of that index set.
  double extra_load = 0;
};

// Returns the value of bound.measure, one of: p50, p99, p999, max, refusal_p99
// (ms); coverage, complete_share, refused_share, goodput_share, deadline_share,
// cold_share, extra_load (ratios); errors, wrong, received_by_drained, crashes,
// least_live (counts). Throws std::runtime_error for other names.
double Measure(const Bound& bound, const MeasureInput& input);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_MEASURES_H_
