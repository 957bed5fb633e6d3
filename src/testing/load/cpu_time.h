#ifndef SRC_TESTING_LOAD_CPU_TIME_H_
#define SRC_TESTING_LOAD_CPU_TIME_H_

// PRIVATE HEADER. CPU time of the machine and of the processes of a run.

#include <cstdint>
#include <vector>

namespace wasabihook::load {

// Counters in clock ticks.
struct CpuTime {
  uint64_t total = 0;  // All cores, including idle time.
  uint64_t busy = 0;   // All cores, excluding idle and I/O wait time.
  uint64_t own = 0;    // The given processes.
};

// Reads /proc. Processes that have exited count as 0.
CpuTime ReadCpuTime(const std::vector<int>& processes);

struct CpuUtilisation {
  double machine = 0;
  double own = 0;
};
CpuUtilisation CpuUtilisationBetween(const CpuTime& before,
                                     const CpuTime& after);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_CPU_TIME_H_
