#ifndef SRC_TESTING_LOAD_LOAD_GENERATOR_H_
#define SRC_TESTING_LOAD_LOAD_GENERATOR_H_

// PRIVATE HEADER. Open-loop HTTP load generator, based on libcurl.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "testing/load/load_types.h"

namespace wasabihook::load {

struct LoadGeneratorOptions {
  std::vector<std::string> instances;  // "ip:port" of each daemon.
  size_t threads = 2;
  // A request times out this long after its deadline.
  Duration grace_period{0};
  // Selects the instance of a request that specifies none. Must be thread-safe.
  std::function<size_t()> balance;
  std::chrono::steady_clock::time_point start;
};

// Sends `requests`, which must be in time order, and waits for all responses.
// Returns one response for each request, in the same order. Sending never waits
// for a response. Throws std::runtime_error if libcurl cannot be initialised.
std::vector<Response> RunLoad(const LoadGeneratorOptions& options,
                              const std::vector<LoadRequest>& requests);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LOAD_GENERATOR_H_
