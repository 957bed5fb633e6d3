// Runs fake backend servers on loopback ports; see docs/fakes.md.
#include <signal.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <exception>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>

#include "testing/fake_backends/control_server.h"
#include "testing/fake_backends/fake_fleet.h"
#include "wasabihook-fake-backends/topology.h"

namespace wasabihook {
namespace {

struct Options {
  testing::FakeFleetOptions fleet;
  uint16_t control_port = 0;
  std::vector<std::string> teams;
  std::string settings_file;
};

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Fake backend servers of wasabihook", ' ',
                      WASABIHOOK_VERSION);
  TCLAP::MultiArg<std::string> index_sets(
      "", "index-set", "Index set to serve; may be repeated", false,
      "name:groups:servers_per_group:slots:max_connections:connect_delay_ms",
      line);
  TCLAP::ValueArg<std::string> topology("", "topology", "TOML topology file",
                                        false, "", "FILE", line);
  TCLAP::MultiArg<std::string> centres(
      "", "data-centre", "Data centre; may be repeated", false, "NAME", line);
  TCLAP::MultiArg<std::string> teams(
      "", "team", "Team whose settings are written; may be repeated", false,
      "NAME", line);
  TCLAP::ValueArg<std::string> settings(
      "", "write-settings",
      "Write the settings subtree of each team; %t is replaced by the team",
      false, "", "FILE", line);
  TCLAP::ValueArg<uint16_t> port(
      "", "base-port", "First port of the servers; 0 selects free ports", false,
      0, "PORT", line);
  TCLAP::ValueArg<uint16_t> control("", "control-port",
                                    "Port of the control API; 0 takes a free "
                                    "one",
                                    false, 0, "PORT", line);
  TCLAP::ValueArg<uint32_t> threads("", "threads", "Threads that run servers",
                                    false, 2, "COUNT", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of service times and faults",
                                 false, 1, "NUMBER", line);
  TCLAP::ValueArg<uint64_t> records("", "records-per-group",
                                    "Records per shard group", false, 1000,
                                    "COUNT", line);
  TCLAP::ValueArg<uint32_t> queue("", "queue", "Queue length of each server",
                                  false, 4, "COUNT", line);
  TCLAP::ValueArg<double> median("", "service-ms", "Median service time", false,
                                 4, "MS", line);
  TCLAP::ValueArg<double> sigma("", "service-sigma",
                                "Sigma of the log-normal service time", false,
                                0.6, "NUMBER", line);
  TCLAP::ValueArg<std::string> marker(
      "", "crash-marker",
      "Text in a query that crashes the server that runs it", false, "", "TEXT",
      line);
  TCLAP::ValueArg<double> restart_delay("", "crash-return-ms",
                                        "Time until a crashed server restarts",
                                        false, 2000, "MS", line);
  TCLAP::ValueArg<uint64_t> keep_runs(
      "", "keep-runs", "Number of read runs that the log keeps", false,
      testing::RunLog::kDefaultMaxReads, "COUNT", line);
  line.parse(argc, argv);

  const TopologyDefaults defaults{records.getValue(), queue.getValue(),
                                  FromMs(median.getValue()), sigma.getValue()};
  Options options;
  options.fleet.base_port = port.getValue();
  options.fleet.threads = threads.getValue();
  options.fleet.seed = seed.getValue();
  options.fleet.max_logged_reads = keep_runs.getValue();
  options.fleet.crash_marker = marker.getValue();
  options.fleet.restart_delay = FromMs(restart_delay.getValue());
  if (topology.isSet()) {
    ParseTopology(ReadFile(topology.getValue()), topology.getValue(), defaults,
                  &options.fleet);
  }
  if (centres.isSet()) {
    options.fleet.data_centres = centres.getValue();
  }
  for (const std::string& text : index_sets.getValue()) {
    options.fleet.index_sets.push_back(ParseIndexSetFlag(text, defaults));
  }
  if (options.fleet.index_sets.empty()) {
    throw std::invalid_argument("no index set; use --index-set or --topology");
  }
  options.control_port = control.getValue();
  options.teams =
      teams.isSet() ? teams.getValue() : std::vector<std::string>{"sales-desk"};
  options.settings_file = settings.getValue();
  return options;
}

void WriteSettings(const Options& options, const testing::FakeFleet& fleet) {
  for (const std::string& team : options.teams) {
    std::string path = options.settings_file;
    if (const size_t at = path.find("%t"); at != std::string::npos) {
      path.replace(at, 2, team);
    }
    std::ofstream out(path);
    out << fleet.SettingsToml(team);
    if (!out.flush()) {
      throw std::runtime_error("cannot write " + path);
    }
  }
}

void PrintReady(const testing::FakeFleet& fleet,
                const testing::ControlServer& control) {
  nlohmann::json ready = {{"control", control.address()},
                          {"servers", nlohmann::json::array()}};
  for (const testing::FakeServerInfo& info : fleet.servers()) {
    ready["servers"].push_back(
        {{"server", info.id.value()},
         {"index_set", info.index_set},
         {"group", "g" + std::to_string(info.base_group)},
         {"data_centre", info.data_centre}});
  }
  std::cout << ready.dump() << std::endl;
}

int Run(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  // Blocked before any thread starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  testing::FakeFleet fleet(options.fleet);
  testing::ControlServer control(&fleet, options.control_port);
  if (!options.settings_file.empty()) {
    WriteSettings(options, fleet);
  }
  PrintReady(fleet, control);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

}  // namespace
}  // namespace wasabihook

int main(int argc, char** argv) {
  try {
    return wasabihook::Run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "wasabihook-fake-backends: " << error.what() << "\n";
    return 2;
  }
}
