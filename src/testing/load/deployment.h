#ifndef SRC_TESTING_LOAD_DEPLOYMENT_H_
#define SRC_TESTING_LOAD_DEPLOYMENT_H_

// PRIVATE HEADER. Sizes of the index sets that a scenario runs against, from
// the topology file of wasabihook-fake-backends.

#include <cstdint>
#include <map>
#include <string>

namespace wasabihook::load {

// Log-normal service time.
struct ServiceTime {
  double median_ms = 0;
  double sigma = 0;

  double mean_ms() const;
};

struct IndexSetSize {
  uint32_t groups = 0;
  uint32_t servers_per_group = 0;
  uint32_t slots = 0;

  // Searches a second that keep all slots of a group busy.
  double Capacity(const ServiceTime& service) const;
};

// By name. Throws std::runtime_error if the file cannot be read or is not a
// topology.
std::map<std::string, IndexSetSize> ReadDeployment(const std::string& path);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_DEPLOYMENT_H_
