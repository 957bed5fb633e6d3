// Gateway daemon of the query tier on the users' platform. Exit status: 0 after
// a drain, 1 if startup failed, 2 for invalid arguments.

#include <signal.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <exception>
#include <iostream>
#include <memory>
#include <random>

#include "gateway/gateway.h"
#include "gateway/signal_pipe.h"
#include "gateway/stdout_sink.h"
#include "platform/platform.h"
#include "runtime/logging.h"

namespace {

namespace gateway = wasabihook::gateway;

constexpr int kExitStartFailed = 1;
constexpr int kExitUsage = 2;

int Run(const std::string& path, bool check_only) {
  const gateway::GatewaySettings settings = gateway::LoadGatewaySettings(path);
  if (check_only) {
    std::cout << path << ": valid\n";
    return 0;
  }
  wasabihook::SetLogSink(
      std::make_shared<gateway::NonBlockingSink>(STDOUT_FILENO));
  gateway::EventLoop loop;
  gateway::Gateway instance(
      &loop, settings, path,
      wasabihook::platform_adapter::MakePlatformAdapter(),
      wasabihook::platform_adapter::MakeStoreCodec(),
      wasabihook::MakeRandomSource(std::random_device{}()));
  const gateway::SignalPipe signals(&loop, [&instance](int signal) {
    if (signal == SIGHUP)
      instance.RequestReload();
    else
      instance.BeginDrain();
  });
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine arguments("Gateway of the wasabihook query tier", ' ',
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
  } catch (const gateway::GatewaySettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitStartFailed;
  } catch (const std::exception& error) {
    wasabihook::Log(wasabihook::LogLevel::kError, "start_failed",
                    {{"reason", error.what()}});
    return kExitStartFailed;
  }
}
