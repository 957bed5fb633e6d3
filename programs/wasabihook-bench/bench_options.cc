#include "wasabihook-bench/bench_options.h"

#include <tclap/CmdLine.h>

#include <sstream>

namespace wasabihook::load {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

BenchOptions ParseBenchOptions(int argc, char** argv) {
  using Text = TCLAP::ValueArg<std::string>;
  TCLAP::CmdLine line("Load and experiment tool of wasabihook", ' ',
                      WASABIHOOK_VERSION);
  TCLAP::UnlabeledValueArg<std::string> command(
      "command",
      "run: one scenario against running processes; report: table and plots "
      "of a results directory; list: names of the scenarios",
      true, "", "run|report|list", line);
  Text scenario("", "scenario", "Scenario file", false, "", "FILE", line);
  Text scenarios("", "scenarios", "Directory of scenario files", false, "",
                 "DIR", line);
  Text topology("", "topology", "Topology file of the fake backends", false, "",
                "FILE", line);
  Text settings("", "settings", "Settings appended to every team's subtree",
                false, "", "FILE", line);
  Text results("", "results", "Directory of results", false, "", "DIR", line);
  Text instances("", "instances", "Caller addresses of the daemons", false, "",
                 "ip:port,...", line);
  Text ready("", "ready-checks",
             "Addresses that answer /readyz; the caller addresses by default",
             false, "", "ip:port,...", line);
  Text platform("", "platform", "Address of the platform", false, "", "ip:port",
                line);
  Text backends("", "backends", "Control address of the fake backends", false,
                "", "ip:port", line);
  Text processes("", "processes", "Processes whose CPU time is reported", false,
                 "", "PID,...", line);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the run", false, 1,
                                 "NUMBER", line);
  TCLAP::ValueArg<size_t> threads("", "threads", "Threads that send requests",
                                  false, 2, "COUNT", line);
  TCLAP::ValueArg<double> median("", "service-ms",
                                 "Median service time of the fake backends",
                                 false, 8, "MS", line);
  TCLAP::ValueArg<double> sigma("", "service-sigma",
                                "Sigma of the log-normal service time", false,
                                0.6, "NUMBER", line);
  TCLAP::ValueArg<uint64_t> records(
      "", "records-per-group", "Records per shard group of the fake backends",
      false, 200, "COUNT", line);
  Text marker("", "crash-marker",
              "Query text that crashes a fake backend server", false,
              "crash-this-server", "TEXT", line);
  TCLAP::ValueArg<double> factor("", "length-factor",
                                 "Multiplies the length of the scenario", false,
                                 1, "NUMBER", line);
  line.parse(argc, argv);

  BenchOptions options;
  options.command = command.getValue();
  options.scenario = scenario.getValue();
  options.scenarios = scenarios.getValue();
  options.topology = topology.getValue();
  options.settings = settings.getValue();
  options.results = results.getValue();
  options.instances = Split(instances.getValue());
  options.ready_checks =
      ready.isSet() ? Split(ready.getValue()) : options.instances;
  options.platform = platform.getValue();
  options.backends = backends.getValue();
  for (const std::string& process : Split(processes.getValue())) {
    options.processes.push_back(std::stoi(process));
  }
  options.seed = seed.getValue();
  options.threads = threads.getValue();
  options.service = {median.getValue(), sigma.getValue()};
  options.records_per_group = records.getValue();
  options.crash_marker = marker.getValue();
  options.length_factor = factor.getValue();
  return options;
}

}  // namespace wasabihook::load
