// Runs load scenarios against real daemons with fake backend servers, and
// reports the results.

#include <curl/curl.h>
#include <tclap/ArgException.h>
#include <unistd.h>

#include <algorithm>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include "testing/fake_backends/corpus.h"
#include "testing/load/latency_plot.h"
#include "testing/load/report.h"
#include "testing/load/scenario_run.h"
#include "wasabihook-bench/bench_options.h"

namespace wasabihook::load {
namespace {

namespace fs = std::filesystem;

std::string ReadText(const fs::path& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path.string());
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteText(const fs::path& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + path.string());
  }
}

std::vector<fs::path> FilesIn(const fs::path& directory,
                              const std::string& extension) {
  std::vector<fs::path> files;
  for (const auto& entry : fs::directory_iterator(directory)) {
    if (entry.path().extension() == extension) {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::vector<Scenario> ReadScenarios(const fs::path& directory) {
  std::vector<Scenario> scenarios;
  for (const fs::path& file : FilesIn(directory, ".toml")) {
    scenarios.push_back(ReadScenario(file));
  }
  return scenarios;
}

// Rows that the fake backend servers hold; see
// src/testing/fake_backends/corpus.h.
std::vector<std::string> RowsOf(const testing::Corpus& corpus,
                                const LoadRequest& request,
                                const SnapshotId& snapshot,
                                const PublishedGroup& group,
                                size_t groups) {
  const auto view = corpus.View(snapshot.index_version.value(),
                                static_cast<uint32_t>(groups));
  const auto number = static_cast<uint32_t>(std::stoul(group.id.substr(1)));
  if (request.kind == RequestKind::kSearch) {
    return view->Search(number, request.payload);
  }
  const std::string* row = view->Fetch(number, request.record_key);
  return row == nullptr ? std::vector<std::string>()
                        : std::vector<std::string>{*row};
}

void AddCorpora(RunOptions* options) {
  auto corpora = std::make_shared<
      std::map<std::string, std::unique_ptr<testing::Corpus>>>();
  for (const auto& [name, size] : options->sizes) {
    (*corpora)[name] = std::make_unique<testing::Corpus>(
        name, options->records_per_group * size.groups);
  }
  options->rows = [corpora](const LoadRequest& request,
                            const SnapshotId& snapshot,
                            const PublishedGroup& group, size_t groups) {
    return RowsOf(*corpora->at(request.index_set), request, snapshot, group,
                  groups);
  };
  options->group_for = [](const std::string& key, size_t groups) -> size_t {
    return testing::GroupOfKey(key, static_cast<uint32_t>(groups));
  };
}

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

void RunScenarioFile(const BenchOptions& options) {
  RunOptions run;
  run.scenario = ReadScenario(options.scenario);
  if (run.scenario.draw_two) {
    run.scenario = WithDrawnFaults(
        run.scenario, ReadScenarios(fs::path(options.scenario).parent_path()),
        options.seed);
  }
  run.scenario.length = Scaled(run.scenario.length, options.length_factor);
  run.sizes = ReadDeployment(options.topology);
  run.settings_name = fs::path(options.settings).stem();
  run.settings_text = ReadText(options.settings);
  run.instances = options.instances;
  run.ready_checks = options.ready_checks;
  run.platform = options.platform;
  run.backends = options.backends;
  run.processes = options.processes;
  run.processes.push_back(getpid());
  run.seed = options.seed;
  run.threads = options.threads;
  run.service = options.service;
  run.records_per_group = options.records_per_group;
  run.crash_marker = options.crash_marker;
  AddCorpora(&run);
  const RunResult result = RunScenario(run);
  const fs::path file = fs::path(options.results) /
                        (result.scenario + "." + result.settings + ".json");
  WriteText(file, ToJson(result).dump());
  for (const Finding& finding : result.findings) {
    std::cerr << "wrong: " << ToString(finding.kind) << " "
              << finding.request_id << " " << finding.detail << "\n";
  }
}

void WritePlots(const fs::path& directory,
                const std::vector<RunResult>& results) {
  std::map<std::string, std::vector<const RunResult*>> by_scenario;
  for (const RunResult& result : results) {
    by_scenario[result.scenario].push_back(&result);
  }
  for (const auto& [scenario, runs] : by_scenario) {
    WriteText(directory / (scenario + ".svg"), LatencyPlot(runs));
  }
}

void WriteReport(const BenchOptions& options) {
  std::vector<RunResult> results;
  for (const fs::path& file : FilesIn(options.results, ".json")) {
    results.push_back(ResultFromJson(nlohmann::json::parse(ReadText(file))));
  }
  // Order within a scenario: product, baseline, other settings.
  std::stable_sort(results.begin(), results.end(),
                   [](const RunResult& a, const RunResult& b) {
                     const auto rank = [](const RunResult& result) {
                       return result.settings == kProductSettings    ? 0
                              : result.settings == kBaselineSettings ? 1
                                                                     : 2;
                     };
                     return std::pair(a.scenario, rank(a)) <
                            std::pair(b.scenario, rank(b));
                   });
  const std::string table = MarkdownTable(results);
  WriteText(fs::path(options.results) / "table.md", table);
  WritePlots(options.results, results);
  std::cout << table;
}

void PrintScenarios(const BenchOptions& options) {
  for (const Scenario& scenario : ReadScenarios(options.scenarios)) {
    std::cout << scenario.name << "\t" << scenario.deployment << "\t"
              << scenario.title << "\n";
  }
}

void Dispatch(const BenchOptions& options) {
  if (options.command == "run") {
    RunScenarioFile(options);
  } else if (options.command == "report") {
    WriteReport(options);
  } else if (options.command == "list") {
    PrintScenarios(options);
  } else {
    throw std::invalid_argument("unknown command " + options.command);
  }
}

}  // namespace
}  // namespace wasabihook::load

int main(int argc, char** argv) {
  try {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    wasabihook::load::Dispatch(wasabihook::load::ParseBenchOptions(argc, argv));
    return 0;
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "wasabihook-bench: " << error.error() << " " << error.argId()
              << "\n";
  } catch (const std::exception& error) {
    std::cerr << "wasabihook-bench: " << error.what() << "\n";
  }
  return 2;
}
