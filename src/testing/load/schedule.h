#ifndef SRC_TESTING_LOAD_SCHEDULE_H_
#define SRC_TESTING_LOAD_SCHEDULE_H_

// PRIVATE HEADER. Open-loop arrival times, generated before the run, so that
// slow answers cannot delay later requests.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "testing/load/load_types.h"

namespace wasabihook::load {

// Poisson arrivals of one stream in [from, to).
struct ArrivalPlan {
  size_t stream = 0;
  double rate = 0;  // Mean rate in requests per second.
  Duration from{0};
  Duration to{0};
};

// Returns the arrivals of all plans in time order. The same seed gives the same
// arrivals, and a plan's arrivals are independent of the other plans.
std::vector<Arrival> PoissonSchedule(const std::vector<ArrivalPlan>& plans,
                                     uint64_t seed);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SCHEDULE_H_
