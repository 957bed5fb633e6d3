#include <tclap/CmdLine.h>

#include <chrono>
#include <iostream>

#include "peers/operator/report_command.h"
#include "wasabihookctl/command.h"
#include "wasabihookctl/store_session.h"

namespace wasabihook::ctl {

int Report(Arguments arguments) {
  TCLAP::CmdLine line("Reports on the service-level objectives", ' ',
                      WASABIHOOK_VERSION);
  line.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> platform(
      "", "platform", "Address of the platform", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> format("", "format", "text, json or html", false,
                                      "text", "FORMAT", line);
  TCLAP::ValueArg<std::string> output("", "output", "File to write", false, "",
                                      "FILE", line);
  line.parse(arguments);
  StoreSession session(platform.getValue());
  const WallTime now{std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())};
  RunReportCommand(session.store(), now,
                   {.format = ParseReportFormat(format.getValue()),
                    .output = output.getValue()},
                   std::cout);
  return kExitOk;
}

}  // namespace wasabihook::ctl
