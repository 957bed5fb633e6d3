#ifndef PROGRAMS_WASABIHOOK_BENCH_BENCH_OPTIONS_H_
#define PROGRAMS_WASABIHOOK_BENCH_BENCH_OPTIONS_H_

// Command line of wasabihook-bench.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "testing/load/deployment.h"

namespace wasabihook::load {

struct BenchOptions {
  // "run", "report" or "list".
  std::string command;
  std::string scenario;   // File.
  std::string scenarios;  // Directory.
  std::string topology;   // File.
  std::string settings;   // File.
  std::string results;    // Directory.
  std::vector<std::string> instances;
  std::vector<std::string> ready_checks;
  std::string platform;
  std::string backends;
  std::vector<int> processes;
  uint64_t seed = 0;
  size_t threads = 0;
  ServiceTime service;
  uint64_t records_per_group = 0;
  std::string crash_marker;
  double length_factor = 1;
};

// Exits on --help and --version. Throws TCLAP::ArgException and
// std::invalid_argument.
BenchOptions ParseBenchOptions(int argc, char** argv);

}  // namespace wasabihook::load

#endif  // PROGRAMS_WASABIHOOK_BENCH_BENCH_OPTIONS_H_
