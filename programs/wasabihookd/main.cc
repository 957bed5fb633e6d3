// Daemon of the query tier. Exit status: 0 after a complete drain, 1 if startup
// failed, 2 for invalid arguments, 3 if requests in flight were aborted.

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>

#include "runtime/daemon.h"
#include "runtime/logging.h"
#include "runtime/signal_watcher.h"
#include "runtime/start_config.h"

namespace {

constexpr int kExitUsage = 2;

int Run(const std::string& path, bool check_only) {
  const wasabihook::StartConfig config = wasabihook::LoadStartConfig(path);
  if (check_only) {
    std::cout << path << ": valid\n";
    return 0;
  }
  wasabihook::BlockTerminationSignals();
  wasabihook::SetLogLevel(config.log_level);
  wasabihook::Daemon daemon(config, WASABIHOOK_VERSION);
  const wasabihook::SignalWatcher signals(
      [&daemon](int /*signal*/) { daemon.RequestShutdown(); });
  return daemon.Wait();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine arguments("Daemon of the wasabihook query tier", ' ',
                             WASABIHOOK_VERSION);
    arguments.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> config("c", "config",
                                        "Startup configuration file (TOML)",
                                        true, "", "FILE", arguments);
    TCLAP::SwitchArg check("", "check",
                           "Check the startup configuration file and exit",
                           arguments);
    arguments.parse(argc, argv);
    return Run(config.getValue(), check.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  } catch (const wasabihook::StartConfigError& error) {
    std::cerr << error.what() << "\n";
    return wasabihook::kExitStartFailed;
  } catch (const std::exception& error) {
    wasabihook::Log(wasabihook::LogLevel::kError, "start_failed",
                    {{"reason", error.what()}});
    return wasabihook::kExitStartFailed;
  }
}
