// Measures the latency and cost of settings propagation over many instances;
// see docs/decisions/settings-propagation.md.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "wasabihook-fleet-bench/fleet.h"

namespace wasabihook::fleet_bench {
namespace {

using std::chrono::seconds;

// Estimated size of the request line, status line and headers of one call.
constexpr double kHttpHeaderBytes = 300;
// Estimated size of one entry of the instance list.
constexpr double kListEntryBytes = 128;
constexpr seconds kMembershipTimeout{60};
constexpr seconds kChangeTimeout{15};
constexpr size_t kReplaceEveryNth = 10;

struct Options {
  std::vector<size_t> sizes;
  size_t data_centres = 0;
  size_t settings_bytes = 0;
  uint64_t seed = 0;
  uint32_t seconds = 0;
  std::string output;
};

struct Row {
  size_t instances = 0;
  std::string scenario;
  size_t changes = 0;
  size_t missing = 0;  // Instances not reached, summed over all changes.
  double p50 = 0;
  double p99 = 0;
  double max = 0;
  double platform_calls_per_s = 0;
  double bytes_per_s = 0;  // Per daemon, both directions.
  double cpu_percent = 0;  // Of one core, per daemon.
  double megabytes = 0;    // Resident memory, per daemon.
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Settings propagation over many instances", ' ',
                      WASABIHOOK_VERSION);
  TCLAP::MultiArg<size_t> sizes("", "instances",
                                "Number of instances; may be repeated", false,
                                "COUNT", line);
  TCLAP::ValueArg<size_t> centres("", "data-centres", "Data centres", false, 6,
                                  "COUNT", line);
  TCLAP::ValueArg<size_t> bytes("", "settings-bytes", "Size of the subtree",
                                false, 4096, "BYTES", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed", false, 20261204, "NUMBER",
                                 line);
  TCLAP::ValueArg<uint32_t> time("", "seconds", "Length of each scenario",
                                 false, 10, "SECONDS", line);
  TCLAP::ValueArg<std::string> output("", "json", "File for the rows as JSON",
                                      false, "", "FILE", line);
  line.parse(argc, argv);
  Options options{sizes.getValue(), centres.getValue(), bytes.getValue(),
                  seed.getValue(),  time.getValue(),    output.getValue()};
  if (options.sizes.empty()) {
    options.sizes = {8, 32, 128, 512};
  }
  return options;
}

double ResidentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double Percentile(std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(
      std::lround(share * static_cast<double>(sorted.size() - 1)));
  return sorted[index];
}

// Accumulates the timings and costs of one scenario.
class Measurement {
 public:
  Measurement(Fleet& fleet, std::string scenario, size_t settings_bytes)
      : m_fleet(fleet),
        m_scenario(std::move(scenario)),
        m_settings_bytes(static_cast<double>(settings_bytes)),
        m_before(fleet.Totals()) {}

  void Add(const ChangeTiming& timing) {
    ++m_changes;
    m_missing += timing.missing;
    m_times.insert(m_times.end(), timing.seconds.begin(), timing.seconds.end());
  }

  Row Finish() {
    const FleetTotals after = m_fleet.Totals();
    const auto count = static_cast<double>(m_fleet.size());
    const double time =
        std::chrono::duration<double>(after.at - m_before.at).count();
    const auto calls =
        static_cast<double>(after.peer_calls - m_before.peer_calls);
    const auto reads =
        static_cast<double>(after.platform_reads - m_before.platform_reads);
    const auto lists =
        static_cast<double>(after.list_reads - m_before.list_reads);
    const auto writes =
        static_cast<double>(after.platform_writes - m_before.platform_writes);
    const auto bodies =
        static_cast<double>(after.peer_body_bytes - m_before.peer_body_bytes);
    std::sort(m_times.begin(), m_times.end());
    Row row;
    row.instances = m_fleet.size();
    row.scenario = m_scenario;
    row.changes = m_changes;
    row.missing = m_missing;
    row.p50 = Percentile(m_times, 0.5);
    row.p99 = Percentile(m_times, 0.99);
    row.max = m_times.empty() ? 0 : m_times.back();
    row.platform_calls_per_s = (reads + lists + writes) / time;
    // Bytes between peers count twice: once sent, once received.
    row.bytes_per_s = (2 * (bodies + calls * kHttpHeaderBytes) +
                       reads * (m_settings_bytes + kHttpHeaderBytes) +
                       lists * (count * kListEntryBytes + kHttpHeaderBytes) +
                       writes * (kListEntryBytes + kHttpHeaderBytes)) /
                      time / count;
    row.cpu_percent =
        100 * (after.cpu_seconds - m_before.cpu_seconds) / time / count;
    row.megabytes = ResidentMegabytes() / count;
    return row;
  }

 private:
  Fleet& m_fleet;
  const std::string m_scenario;
  const double m_settings_bytes;
  const FleetTotals m_before;
  size_t m_changes = 0;
  size_t m_missing = 0;
  std::vector<double> m_times;
};

Row RunIdle(Fleet& fleet, const Options& options) {
  Measurement measurement(fleet, "quiet", options.settings_bytes);
  std::this_thread::sleep_for(seconds(options.seconds));
  return measurement.Finish();
}

Row RunChanges(Fleet& fleet, const Options& options, bool replace) {
  Measurement measurement(fleet, replace ? "tenth replaced" : "1 change/s",
                          options.settings_bytes);
  if (replace) {
    fleet.ReplaceEveryNth(kReplaceEveryNth);
  }
  for (uint32_t i = 0; i < options.seconds; ++i) {
    const Clock::time_point next = Clock::now() + seconds(1);
    measurement.Add(fleet.ApplyChange(kChangeTimeout, false));
    std::this_thread::sleep_until(next);
  }
  return measurement.Finish();
}

// Takes the store down directly after it accepts each change.
Row RunStoreDown(Fleet& fleet, const Options& options) {
  Measurement measurement(fleet, "store down", options.settings_bytes);
  for (uint32_t i = 0; i < std::max(1U, options.seconds / 3); ++i) {
    measurement.Add(fleet.ApplyChange(kChangeTimeout, true));
    std::this_thread::sleep_for(seconds(1));
    fleet.SetStoreDown(false);
    std::this_thread::sleep_for(seconds(2));
  }
  return measurement.Finish();
}

void PrintRow(const Row& row) {
  std::printf(
      "| %zu | %s | %zu | %zu | %.3f | %.3f | %.3f | %.1f | %.0f | %.2f | %.1f "
      "|\n",
      row.instances, row.scenario.c_str(), row.changes, row.missing, row.p50,
      row.p99, row.max, row.platform_calls_per_s, row.bytes_per_s,
      row.cpu_percent, row.megabytes);
  std::fflush(stdout);
}

nlohmann::ordered_json RowToJson(const Row& row) {
  return {{"instances", row.instances},
          {"scenario", row.scenario},
          {"changes", row.changes},
          {"missing", row.missing},
          {"in_force_p50_s", row.p50},
          {"in_force_p99_s", row.p99},
          {"in_force_max_s", row.max},
          {"platform_calls_per_s", row.platform_calls_per_s},
          {"bytes_per_s_per_daemon", row.bytes_per_s},
          {"cpu_percent_per_daemon", row.cpu_percent},
          {"resident_mb_per_daemon", row.megabytes}};
}

std::vector<Row> RunSize(size_t size, const Options& options) {
  Fleet fleet(size, options.data_centres, options.settings_bytes, options.seed);
  if (!fleet.WaitForMembership(kMembershipTimeout)) {
    std::cerr << size << " instances: membership is not complete\n";
  }
  std::vector<Row> rows;
  const auto add = [&rows](Row row) {
    PrintRow(row);
    rows.push_back(std::move(row));
  };
  add(RunIdle(fleet, options));
  add(RunChanges(fleet, options, false));
  add(RunStoreDown(fleet, options));
  add(RunChanges(fleet, options, true));
  return rows;
}

void Run(const Options& options) {
  std::printf(
      "| instances | scenario | changes | missing | p50 s | p99 s | max s | "
      "platform calls/s | bytes/s per daemon | %% of a core per daemon | MB "
      "per "
      "daemon |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  auto list = nlohmann::ordered_json::array();
  for (size_t size : options.sizes) {
    for (const Row& row : RunSize(size, options)) {
      list.push_back(RowToJson(row));
    }
  }
  if (!options.output.empty()) {
    std::ofstream(options.output) << list.dump(2) << "\n";
  }
}

}  // namespace
}  // namespace wasabihook::fleet_bench

int main(int argc, char** argv) {
  try {
    wasabihook::fleet_bench::Run(
        wasabihook::fleet_bench::ParseOptions(argc, argv));
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "wasabihook-fleet-bench: " << error.what() << "\n";
    return 1;
  }
}
