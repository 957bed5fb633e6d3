#ifndef SRC_TESTING_LOAD_LOAD_GENERATOR_H_
#define SRC_TESTING_LOAD_LOAD_GENERATOR_H_

// PRIVATE HEADER. Sends requests at their intended times over libcurl.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "testing/load/load_types.h"

namespace wasabihook::load {

struct LoadGeneratorOptions {
  std::vector<std::string> instances;  // "ip:port" of each daemon.
  size_t threads = 2;
  // A request without an answer for its deadline and this time is given up.
  Duration grace_period{0};
  // Picks the instance of a request that names none. Thread-safe.
  std::function<size_t()> balance;
  std::chrono::steady_clock::time_point start;
};

// Sends `requests` (in time order) and waits for all answers. Returns one
// response for each request, in the same order. Sending never waits for
// answers. Throws std::runtime_error if libcurl cannot be set up.
std::vector<Response> RunLoad(const LoadGeneratorOptions& options,
                              const std::vector<LoadRequest>& requests);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LOAD_GENERATOR_H_
