// Soak test with fault injection: runs gateway processes against fakes of the
// platform. Exit status: 0 if all guarantees held, 1 if one was violated or the
// run failed, 2 for invalid arguments.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>

#include "runtime/logging.h"
#include "wasabihook-soak/soak.h"

namespace {

using wasabihook::soak::Soak;
using wasabihook::soak::SoakOptions;
using wasabihook::soak::SoakResult;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

// Runs one seed. Returns true if no guarantee was violated.
bool RunSeed(SoakOptions options, const std::string& root) {
  options.folder = root + "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const SoakResult result = Soak(options).Run();
  std::cout << "seed " << options.seed << ": " << result.requests
            << " requests, " << result.answered << " answered, "
            << result.faults << " faults, " << result.crashes << " crashes, "
            << result.limits << " limits, " << result.leaving << " leaving, "
            << result.pauses << " pauses, " << result.restores << " restores, "
            << result.violations.size() << " violations\n";
  constexpr size_t kMaxPrintedViolations = 5;
  for (size_t i = 0;
       i < std::min(kMaxPrintedViolations, result.violations.size()); ++i)
    std::cout << "  " << result.violations[i] << "\n";
  return result.violations.empty();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine arguments(
        "Soak test of the wasabihook gateway with fault injection", ' ', "1");
    arguments.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> program("", "program", "Gateway program", true,
                                         "", "FILE", arguments);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "First seed", false, 1, "N",
                                   arguments);
    TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Number of seeds", false, 1,
                                    "N", arguments);
    TCLAP::ValueArg<uint32_t> duration("", "duration",
                                       "Seconds of fault injection", false, 10,
                                       "S", arguments);
    TCLAP::ValueArg<uint32_t> processes("", "processes", "Gateway processes",
                                        false, 3, "N", arguments);
    TCLAP::ValueArg<std::string> folder(
        "", "folder", "Directory for configuration files and logs", false,
        "/tmp/wasabihook-soak", "DIR", arguments);
    arguments.parse(argc, argv);
    bool passed = true;
    for (uint64_t i = 0; i < seeds.getValue(); ++i)
      passed = RunSeed({.seed = seed.getValue() + i,
                        .duration = std::chrono::seconds(duration.getValue()),
                        .gateways = processes.getValue(),
                        .program = program.getValue(),
                        .folder = ""},
                       folder.getValue()) &&
               passed;
    return passed ? 0 : kExitViolation;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitViolation;
  }
}
