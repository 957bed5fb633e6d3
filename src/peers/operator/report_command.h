#ifndef SRC_PEERS_OPERATOR_REPORT_COMMAND_H_
#define SRC_PEERS_OPERATOR_REPORT_COMMAND_H_

#include <iosfwd>
#include <string>

#include "wasabihook/platform.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class ReportFormat : uint8_t { kText, kJson, kHtml };

// Parses "text", "json" or "html". Throws std::invalid_argument otherwise.
ReportFormat ParseReportFormat(const std::string& name);

struct ReportOptions {
  ReportFormat format = ReportFormat::kText;
  // Path of the output file; if empty, the report is written to `out`.
  std::string output;
};

// Reads the burn counts of all data centres from the platform's key-value store
// and writes the report. Data centres whose counts cannot be decoded are listed
// in the report as problems. Blocks until the store responds. Throws
// std::runtime_error if the store cannot be read or the file cannot be written.
void RunReportCommand(KeyValueStore& store,
                      WallTime now,
                      const ReportOptions& options,
                      std::ostream& out);

}  // namespace wasabihook

#endif  // SRC_PEERS_OPERATOR_REPORT_COMMAND_H_
