#ifndef SRC_PEERS_OPERATOR_REPORT_COMMAND_H_
#define SRC_PEERS_OPERATOR_REPORT_COMMAND_H_

#include <iosfwd>
#include <string>

#include "wasabihook/platform.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class ReportFormat : uint8_t { kText, kJson, kHtml };

// "text", "json" or "html". Throws std::invalid_argument for others.
ReportFormat ParseReportFormat(const std::string& name);

struct ReportOptions {
  ReportFormat format = ReportFormat::kText;
  // File to write; empty writes to `out`.
  std::string output;
};

// Reads the burn counts of all data centres from the platform and writes the
// report. Counts of a data centre that cannot be decoded are named in the
// report. Waits for the store on the calling thread. Throws std::runtime_error
// if the store does not answer or the file cannot be written.
void RunReportCommand(KeyValueStore& store,
                      WallTime now,
                      const ReportOptions& options,
                      std::ostream& out);

}  // namespace wasabihook

#endif  // SRC_PEERS_OPERATOR_REPORT_COMMAND_H_
