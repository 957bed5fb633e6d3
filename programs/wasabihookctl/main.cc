// Command-line tool for operators, see docs/operations-ctl.md.
#include <tclap/CmdLine.h>

#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

#include "wasabihookctl/command.h"

namespace wasabihook::ctl {
namespace {

struct Command {
  std::function<int(Arguments)> run;
  std::string summary;
};

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"settings check", {SettingsCheck, "check a settings file"}},
      {"settings schema", {SettingsSchema, "print every key"}},
      {"settings get", {SettingsGet, "print a subtree"}},
      {"settings put", {SettingsPut, "write a subtree"}},
      {"settings diff", {SettingsDiff, "compare a file with the store"}},
      {"settings watch", {SettingsWatch, "print changes as they occur"}},
      {"query search", {QuerySearch, "search an index set"}},
      {"query fetch", {QueryFetch, "fetch a record"}},
      {"query operation", {QueryOperation, "run an operation"}},
      {"status", {Status, "print the status of an instance"}},
      {"report", {Report, "report on the service-level objectives"}},
  };
  return commands;
}

void PrintUsage(std::ostream& out) {
  out << "usage: wasabihookctl COMMAND [ARGUMENT...]\n"
         "       wasabihookctl COMMAND --help\n"
         "       wasabihookctl --version\n\ncommands:\n";
  for (const auto& [name, command] : Commands()) {
    out << "  " << name << std::string(18 - name.size(), ' ') << command.summary
        << "\n";
  }
  out << "\nexit status: 0 success, 1 invalid settings or error response, "
         "2 usage,\n3 conflict, 4 unavailable, 5 unknown outcome\n";
}

int Run(const Arguments& args) {
  if (args.empty() || args[0] == "--help" || args[0] == "-h") {
    PrintUsage(args.empty() ? std::cerr : std::cout);
    return args.empty() ? kExitUsage : kExitOk;
  }
  if (args[0] == "--version") {
    std::cout << "wasabihookctl " << WASABIHOOK_VERSION << "\n";
    return kExitOk;
  }
  for (size_t length = 1; length <= 2 && length <= args.size(); ++length) {
    const std::string name = length == 1 ? args[0] : args[0] + ' ' + args[1];
    if (const auto it = Commands().find(name); it != Commands().end()) {
      Arguments arguments = {"wasabihookctl " + name};
      arguments.insert(
          arguments.end(),
          args.begin() + static_cast<Arguments::difference_type>(length),
          args.end());
      return it->second.run(std::move(arguments));
    }
  }
  std::cerr << "wasabihookctl: no such command: " << args[0] << "\n";
  PrintUsage(std::cerr);
  return kExitUsage;
}

}  // namespace
}  // namespace wasabihook::ctl

int main(int argc, char** argv) {
  using wasabihook::ctl::kExitUnavailable;
  using wasabihook::ctl::kExitUsage;
  try {
    return wasabihook::ctl::Run({argv + 1, argv + argc});
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "wasabihookctl: " << error.error() << " " << error.argId()
              << "\n";
    return kExitUsage;
  } catch (const std::invalid_argument& error) {
    std::cerr << "wasabihookctl: " << error.what() << "\n";
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "wasabihookctl: " << error.what() << "\n";
    return kExitUnavailable;
  }
}
