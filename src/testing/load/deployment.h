#ifndef SRC_TESTING_LOAD_DEPLOYMENT_H_
#define SRC_TESTING_LOAD_DEPLOYMENT_H_

// PRIVATE HEADER. Sizes of the index sets under load, read from the topology
// file of wasabihook-fake-backends.

#include <cstdint>
#include <map>
#include <string>

namespace wasabihook::load {

// Log-normal service time distribution.
struct ServiceTime {
  double median_ms = 0;
  double sigma = 0;

  double mean_ms() const;
};

struct IndexSetSize {
  uint32_t groups = 0;
  uint32_t servers_per_group = 0;
  uint32_t slots = 0;

  // Searches per second at which all slots of a group are busy.
  double Capacity(const ServiceTime& service) const;
};

// Returns the sizes by index set name. Throws std::runtime_error if the file
// cannot be read or parsed.
std::map<std::string, IndexSetSize> ReadDeployment(const std::string& path);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_DEPLOYMENT_H_
