#include "testing/load/oracle.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

// Fetches are matched by their record key, operations by their idempotency key
// and searches by their unique text.
std::string KeyOf(const std::string& index_set,
                  RequestKind kind,
                  const std::string& payload) {
  return index_set + '\n' + std::to_string(static_cast<int>(kind)) + '\n' +
         payload;
}

std::string KeyOf(const LoadRequest& request) {
  switch (request.kind) {
    case RequestKind::kSearch:
      break;
    case RequestKind::kFetch:
      return KeyOf(request.index_set, request.kind, request.record_key);
    case RequestKind::kOperation:
      return KeyOf(request.index_set, request.kind, request.idempotency_key);
  }
  return KeyOf(request.index_set, request.kind, request.payload);
}

void Add(std::vector<Finding>* findings,
         Wrong kind,
         const LoadRequest& request,
         std::string detail) {
  findings->push_back({kind, request.id, std::move(detail)});
}

}  // namespace

// The fields of a 200 response.
struct Oracle::Answered {
  std::string request_id;
  SnapshotId snapshot;
  Coverage coverage;
  bool complete = false;
  std::vector<Json> rows;
  std::set<std::string> missing;

  // Throws nlohmann::json::exception if a field is absent or of another type.
  static Answered Parse(const std::string& text) {
    const Json body = Json::parse(text);
    Answered answer;
    answer.request_id = body.at("request_id").get<std::string>();
    const Json& snapshot = body.at("snapshot");
    answer.snapshot = {
        IndexVersion(snapshot.at("index_version").get<uint64_t>()),
        MapVersion(snapshot.at("map_version").get<uint64_t>())};
    const Json& coverage = body.at("coverage");
    answer.coverage.groups_asked = coverage.at("groups_asked").get<uint32_t>();
    answer.coverage.groups_covered =
        coverage.at("groups_covered").get<uint32_t>();
    answer.coverage.records_asked =
        coverage.at("records_asked").get<uint64_t>();
    answer.coverage.records_covered =
        coverage.at("records_covered").get<uint64_t>();
    answer.complete = coverage.at("complete").get<bool>();
    for (const Json& group : coverage.at("missing_groups")) {
      answer.missing.insert(group.get<std::string>());
    }
    const Json& rows = body.at("rows");
    answer.rows.assign(rows.begin(), rows.end());
    return answer;
  }
};

std::string ToString(Wrong kind) {
  constexpr std::array<const char*, kWrongKinds> kNames = {
      "malformed",      "other_request", "unknown_snapshot",
      "false_coverage", "missing_rows",  "foreign_rows",
      "never_ran",      "ran_after_all", "ran_twice"};
  return kNames.at(static_cast<size_t>(kind));
}

Oracle::Oracle(Truth truth) : m_truth(std::move(truth)) {
  for (size_t i = 0; i < m_truth.runs.size(); ++i) {
    const RunRecord& run = m_truth.runs[i];
    const std::string& key =
        run.kind == RequestKind::kOperation ? run.idempotency_key : run.payload;
    m_runs_by_request[KeyOf(run.index_set, run.kind, key)].push_back(i);
  }
}

void Oracle::Check(const LoadRequest& request,
                   const Response& response,
                   std::vector<Finding>* findings) const {
  if (response.status == 0) {
    return;
  }
  try {
    if (response.status == 200) {
      CheckAnswer(request, Answered::Parse(response.body), findings);
      return;
    }
    const Json body = Json::parse(response.body);
    if (body.at("request_id").get<std::string>() != request.id) {
      Add(findings, Wrong::kOtherRequest, request, response.body);
    }
    // Another fetch of the same key may have run, so only unique payloads
    // prove a false not_run.
    if (body.at("run_state").get<std::string>() == "not_run" &&
        request.kind != RequestKind::kFetch && !request.repeated &&
        Ran(request)) {
      Add(findings, Wrong::kRanAfterAll, request, response.body);
    }
  } catch (const Json::exception& error) {
    Add(findings, Wrong::kMalformed, request, error.what());
  }
}

void Oracle::CheckAnswer(const LoadRequest& request,
                         const Answered& answer,
                         std::vector<Finding>* findings) const {
  if (answer.request_id != request.id) {
    Add(findings, Wrong::kOtherRequest, request, answer.request_id);
  }
  const auto index_set = m_truth.published.find(request.index_set);
  if (index_set == m_truth.published.end() ||
      !index_set->second.contains(answer.snapshot)) {
    Add(findings, Wrong::kUnknownSnapshot, request,
        std::to_string(answer.snapshot.index_version.value()));
    return;
  }
  const PublishedSnapshot& all = index_set->second.at(answer.snapshot);
  PublishedSnapshot asked = all;
  if (request.kind != RequestKind::kSearch) {
    asked = {all.at(m_truth.group_for(request.record_key, all.size()))};
  }
  if (request.kind == RequestKind::kOperation) {
    asked.front().records = 0;  // An operation searches no records.
  }
  CheckCoverage(request, answer, asked, findings);
  CheckRows(request, answer, asked, all.size(), findings);
}

void Oracle::CheckCoverage(const LoadRequest& request,
                           const Answered& answer,
                           const PublishedSnapshot& asked,
                           std::vector<Finding>* findings) const {
  uint64_t records_asked = 0;
  uint64_t records_covered = 0;
  size_t known_missing = 0;
  for (const PublishedGroup& group : asked) {
    records_asked += group.records;
    if (answer.missing.contains(group.id)) {
      ++known_missing;
    } else {
      records_covered += group.records;
      if (!RanIn(request, answer.snapshot, group.id)) {
        Add(findings, Wrong::kNeverRan, request, group.id);
      }
    }
  }
  const Coverage& coverage = answer.coverage;
  if (known_missing != answer.missing.size() ||
      coverage.groups_asked != asked.size() ||
      coverage.groups_covered != asked.size() - known_missing ||
      coverage.records_asked != records_asked ||
      coverage.records_covered != records_covered ||
      answer.complete != answer.missing.empty()) {
    Add(findings, Wrong::kFalseCoverage, request,
        std::to_string(coverage.records_covered) + " records stated, " +
            std::to_string(records_covered) + " true");
  }
}

void Oracle::CheckRows(const LoadRequest& request,
                       const Answered& answer,
                       const PublishedSnapshot& asked,
                       size_t groups,
                       std::vector<Finding>* findings) const {
  // The outcome of an operation is checked by its run record.
  if (request.kind == RequestKind::kOperation || !m_truth.rows) {
    return;
  }
  std::vector<Json> expected;
  for (const PublishedGroup& group : asked) {
    if (!answer.missing.contains(group.id)) {
      for (const std::string& row :
           m_truth.rows(request, answer.snapshot, group, groups)) {
        expected.push_back(Json::parse(row));
      }
    }
  }
  std::vector<Json> rows = answer.rows;
  std::sort(rows.begin(), rows.end());
  std::sort(expected.begin(), expected.end());
  if (!std::includes(rows.begin(), rows.end(), expected.begin(),
                     expected.end())) {
    Add(findings, Wrong::kMissingRows, request,
        std::to_string(rows.size()) + " rows, expected " +
            std::to_string(expected.size()));
  }
  if (!std::includes(expected.begin(), expected.end(), rows.begin(),
                     rows.end())) {
    Add(findings, Wrong::kForeignRows, request,
        std::to_string(rows.size()) + " rows, expected " +
            std::to_string(expected.size()));
  }
}

bool Oracle::Ran(const LoadRequest& request) const {
  return m_runs_by_request.contains(KeyOf(request));
}

bool Oracle::RanIn(const LoadRequest& request,
                   const SnapshotId& snapshot,
                   const std::string& group) const {
  if (!m_truth.reads_named && request.kind != RequestKind::kOperation) {
    return true;
  }
  const auto found = m_runs_by_request.find(KeyOf(request));
  if (found == m_runs_by_request.end()) {
    return false;
  }
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](size_t index) {
                       const RunRecord& run = m_truth.runs[index];
                       return (run.group == group || !m_truth.reads_named) &&
                              run.snapshot == snapshot;
                     });
}

void Oracle::CheckRuns(std::vector<Finding>* findings) const {
  std::map<std::string, size_t> runs;
  for (const RunRecord& run : m_truth.runs) {
    if (run.kind == RequestKind::kOperation) {
      ++runs[run.idempotency_key];
    }
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      findings->push_back(
          {Wrong::kRanTwice, key, std::to_string(count) + " runs"});
    }
  }
}

}  // namespace wasabihook::load
