#ifndef SRC_TESTING_LOAD_SCHEDULE_H_
#define SRC_TESTING_LOAD_SCHEDULE_H_

// PRIVATE HEADER. Open-loop arrival times: drawn before the run, so that slow
// answers cannot delay later requests.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "testing/load/load_types.h"

namespace wasabihook::load {

// Arrivals of one stream in [from, to) with `rate` a second on average.
struct ArrivalPlan {
  size_t stream = 0;
  double rate = 0;  // Requests a second.
  Duration from{0};
  Duration to{0};
};

// Poisson arrivals of all plans, in time order. The same seed gives the same
// arrivals, and a plan's arrivals do not depend on the other plans.
std::vector<Arrival> PoissonSchedule(const std::vector<ArrivalPlan>& plans,
                                     uint64_t seed);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_SCHEDULE_H_
