#ifndef SRC_TESTING_LOAD_LATENCY_PLOT_H_
#define SRC_TESTING_LOAD_LATENCY_PLOT_H_

// PRIVATE HEADER. SVG plot of latency against time.

#include <string>
#include <vector>

#include "testing/load/run_result.h"

namespace wasabihook::load {

// Plots the median (thin) and the 99th percentile (thick) of each half second
// on a logarithmic axis. All runs must be of the same scenario.
std::string LatencyPlot(const std::vector<const RunResult*>& runs);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LATENCY_PLOT_H_
