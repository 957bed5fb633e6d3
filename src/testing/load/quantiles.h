#ifndef SRC_TESTING_LOAD_QUANTILES_H_
#define SRC_TESTING_LOAD_QUANTILES_H_

// PRIVATE HEADER. Exact quantiles of a run's latencies.

#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::load {

// Nearest-rank quantile, without interpolation: the smallest value such that at
// least a share `quantile` of the values is not above it. 0 if `values` is
// empty.
Duration Quantile(std::vector<Duration> values, double quantile);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_QUANTILES_H_
