#include <tclap/CmdLine.h>

#include <chrono>
#include <iostream>

#include "peers/operator/report_command.h"
#include "wasabihookctl/blocking_store_client.h"
#include "wasabihookctl/command.h"

namespace wasabihook::ctl {

int Report(Arguments arguments) {
  TCLAP::CmdLine command_line("Reports on the service-level objectives", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> platform("", "platform",
                                        "Address of the platform", true, "",
                                        "IP:PORT", command_line);
  TCLAP::ValueArg<std::string> format("", "format", "text, json or html", false,
                                      "text", "FORMAT", command_line);
  TCLAP::ValueArg<std::string> output("", "output", "File to write", false, "",
                                      "FILE", command_line);
  command_line.parse(arguments);
  BlockingStoreClient client(platform.getValue());
  const WallTime now{std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
  RunReportCommand(client.store(), now,
                   {.format = ParseReportFormat(format.getValue()),
                    .output = output.getValue()},
                   std::cout);
  return kExitOk;
}

}  // namespace wasabihook::ctl
