#ifndef SRC_TESTING_LOAD_QUANTILES_H_
#define SRC_TESTING_LOAD_QUANTILES_H_

// PRIVATE HEADER. Exact quantiles of a run's latencies.

#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::load {

// Smallest value that at least a share `quantile` of the values does not
// exceed (nearest rank, never interpolated); 0 if there are none.
Duration Quantile(std::vector<Duration> values, double quantile);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_QUANTILES_H_
