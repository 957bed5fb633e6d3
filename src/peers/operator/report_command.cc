#include "peers/operator/report_command.h"

#include <fstream>
#include <future>
#include <ostream>
#include <stdexcept>
#include <utility>

#include "decision/burn/burn_aggregator.h"
#include "decision/burn/burn_codec.h"
#include "decision/burn/report.h"

namespace wasabihook {
namespace {

ListResult ListBurnCounts(KeyValueStore& store) {
  auto promise = std::make_shared<std::promise<ListResult>>();
  std::future<ListResult> listed = promise->get_future();
  store.List(
      kBurnKeyPrefix, std::nullopt, Duration(0),
      [promise](ListResult result) { promise->set_value(std::move(result)); });
  return listed.get();
}

BurnReport BuildReport(const ListResult& listed, WallTime now) {
  std::map<DataCentreId, BurnLedger> ledgers;
  std::vector<std::string> problems;
  const std::string prefix = kBurnKeyPrefix;
  for (const KeyValue& entry : listed.entries) {
    try {
      ledgers.emplace(DataCentreId(entry.key.substr(prefix.size())),
                      DecodeBurnLedger(entry.value));
    } catch (const std::invalid_argument& error) {
      problems.push_back("Key " + entry.key +
                         " cannot be read: " + error.what());
    }
  }
  BurnReport report = MakeBurnReport(ledgers, now);
  report.problems = std::move(problems);
  return report;
}

std::string Format(const BurnReport& report, ReportFormat format) {
  switch (format) {
    case ReportFormat::kText:
      return FormatReportText(report);
    case ReportFormat::kJson:
      return FormatReportJson(report);
    case ReportFormat::kHtml:
      return FormatReportHtml(report);
  }
  throw std::invalid_argument("unknown report format");
}

}  // namespace

ReportFormat ParseReportFormat(const std::string& name) {
  if (name == "text") {
    return ReportFormat::kText;
  }
  if (name == "json") {
    return ReportFormat::kJson;
  }
  if (name == "html") {
    return ReportFormat::kHtml;
  }
  throw std::invalid_argument("report format must be text, json or html: " +
                              name);
}

void RunReportCommand(KeyValueStore& store,
                      WallTime now,
                      const ReportOptions& options,
                      std::ostream& out) {
  const ListResult listed = ListBurnCounts(store);
  if (listed.status != StoreStatus::kOk &&
      listed.status != StoreStatus::kNotFound) {
    throw std::runtime_error("cannot read the burn counts from the platform");
  }
  const std::string text = Format(BuildReport(listed, now), options.format);
  if (options.output.empty()) {
    out << text;
    return;
  }
  std::ofstream file(options.output, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    throw std::runtime_error("cannot write " + options.output);
  }
}

}  // namespace wasabihook
