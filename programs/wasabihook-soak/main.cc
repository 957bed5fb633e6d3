// Fault soak: gateway processes against stand-ins of the platform, with faults
// injected from outside. Exit status: 0 if every promise held, 1 if one was
// broken, 2 for wrong arguments.

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

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;

// Runs one seed; true if no promise was broken.
bool RunSeed(SoakOptions options, const std::string& root) {
  options.folder = root + "/seed-" + std::to_string(options.seed);
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const SoakResult result = Soak(options).Run();
  std::cout << "seed " << options.seed << ": " << result.requests
            << " requests, " << result.answered << " answered, "
            << result.faults << " faults, " << result.broken.size()
            << " broken promises\n";
  constexpr size_t kShown = 5;
  for (size_t i = 0; i < std::min(kShown, result.broken.size()); ++i)
    std::cout << "  " << result.broken[i] << "\n";
  return result.broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine arguments("Fault soak of the wasabihook gateway", ' ', "1");
    arguments.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> program("", "program", "Gateway program", true,
                                         "", "FILE", arguments);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "First seed", false, 1, "N",
                                   arguments);
    TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Number of seeds", false, 1,
                                    "N", arguments);
    TCLAP::ValueArg<uint32_t> duration("", "duration", "Seconds of faults",
                                       false, 10, "S", arguments);
    TCLAP::ValueArg<uint32_t> processes("", "processes", "Gateway processes",
                                        false, 3, "N", arguments);
    TCLAP::ValueArg<std::string> folder(
        "", "folder", "Where start files and logs go", false,
        "/tmp/wasabihook-soak", "DIR", arguments);
    arguments.parse(argc, argv);
    bool held = true;
    for (uint64_t i = 0; i < seeds.getValue(); ++i)
      held = RunSeed({.seed = seed.getValue() + i,
                      .duration = std::chrono::seconds(duration.getValue()),
                      .gateways = processes.getValue(),
                      .program = program.getValue(),
                      .folder = ""},
                     folder.getValue()) &&
             held;
    return held ? 0 : kExitBroken;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitBroken;
  }
}
