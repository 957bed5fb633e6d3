#include "testing/load/oracle.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace wasabihook::load {
namespace {

using Json = nlohmann::json;

// Key that matches a request with its recorded runs: the record key of a fetch,
// the idempotency key of an operation, the unique text of a search.
std::string RunKey(const std::string& index_set,
                   RequestKind kind,
                   const std::string& payload) {
  return index_set + '\n' + std::to_string(static_cast<int>(kind)) + '\n' +
         payload;
}

std::string RunKey(const LoadRequest& request) {
  switch (request.kind) {
    case RequestKind::kSearch:
      break;
    case RequestKind::kFetch:
      return RunKey(request.index_set, request.kind, request.record_key);
    case RequestKind::kOperation:
      return RunKey(request.index_set, request.kind, request.idempotency_key);
  }
  return RunKey(request.index_set, request.kind, request.payload);
}

void AddFinding(std::vector<Finding>* findings,
                Violation kind,
                const LoadRequest& request,
                std::string detail) {
  findings->push_back({kind, request.id, std::move(detail)});
}

}  // namespace

// The fields of a 200 response.
struct Oracle::ParsedAnswer {
  std::string request_id;
  SnapshotId snapshot;
  Coverage coverage;
  bool complete = false;
  std::vector<Json> rows;
  std::set<std::string> missing;

  // Throws nlohmann::json::exception if a field is absent or of another type.
  static ParsedAnswer Parse(const std::string& text) {
    const Json body = Json::parse(text);
    ParsedAnswer answer;
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

std::string ToString(Violation kind) {
  constexpr std::array<const char*, kViolationKinds> kNames = {
      "malformed",      "other_request", "unknown_snapshot",
      "false_coverage", "missing_rows",  "foreign_rows",
      "never_ran",      "ran_after_all", "ran_twice"};
  return kNames.at(static_cast<size_t>(kind));
}

Oracle::Oracle(ReferenceData reference) : m_reference(std::move(reference)) {
  for (size_t i = 0; i < m_reference.runs.size(); ++i) {
    const RunRecord& run = m_reference.runs[i];
    const std::string& key =
        run.kind == RequestKind::kOperation ? run.idempotency_key : run.payload;
    m_runs_by_request[RunKey(run.index_set, run.kind, key)].push_back(i);
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
      CheckAnswer(request, ParsedAnswer::Parse(response.body), findings);
      return;
    }
    const Json body = Json::parse(response.body);
    if (body.at("request_id").get<std::string>() != request.id) {
      AddFinding(findings, Violation::kRequestIdMismatch, request,
                 response.body);
    }
    // A recorded run disproves not_run only if no other request shares its key;
    // fetches of the same record and repeated requests do.
    if (body.at("run_state").get<std::string>() == "not_run" &&
        request.kind != RequestKind::kFetch && !request.repeated &&
        HasRun(request)) {
      AddFinding(findings, Violation::kRanDespiteNotRun, request,
                 response.body);
    }
  } catch (const Json::exception& error) {
    AddFinding(findings, Violation::kMalformed, request, error.what());
  }
}

void Oracle::CheckAnswer(const LoadRequest& request,
                         const ParsedAnswer& answer,
                         std::vector<Finding>* findings) const {
  if (answer.request_id != request.id) {
    AddFinding(findings, Violation::kRequestIdMismatch, request,
               answer.request_id);
  }
  const auto index_set = m_reference.published.find(request.index_set);
  if (index_set == m_reference.published.end() ||
      !index_set->second.contains(answer.snapshot)) {
    AddFinding(findings, Violation::kUnknownSnapshot, request,
               std::to_string(answer.snapshot.index_version.value()));
    return;
  }
  const PublishedSnapshot& all = index_set->second.at(answer.snapshot);
  PublishedSnapshot asked = all;
  if (request.kind != RequestKind::kSearch) {
    asked = {all.at(m_reference.group_for(request.record_key, all.size()))};
  }
  if (request.kind == RequestKind::kOperation) {
    asked.front().records = 0;  // An operation searches no records.
  }
  CheckCoverage(request, answer, asked, findings);
  CheckRows(request, answer, asked, all.size(), findings);
}

void Oracle::CheckCoverage(const LoadRequest& request,
                           const ParsedAnswer& answer,
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
      if (!HasRunIn(request, answer.snapshot, group.id)) {
        AddFinding(findings, Violation::kNoRecordedRun, request, group.id);
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
    AddFinding(findings, Violation::kCoverageMismatch, request,
               std::to_string(coverage.records_covered) + " records stated, " +
                   std::to_string(records_covered) + " true");
  }
}

void Oracle::CheckRows(const LoadRequest& request,
                       const ParsedAnswer& answer,
                       const PublishedSnapshot& asked,
                       size_t groups,
                       std::vector<Finding>* findings) const {
  // Rows of an operation are not checked; its run record is.
  if (request.kind == RequestKind::kOperation || !m_reference.rows) {
    return;
  }
  std::vector<Json> expected;
  for (const PublishedGroup& group : asked) {
    if (!answer.missing.contains(group.id)) {
      for (const std::string& row :
           m_reference.rows(request, answer.snapshot, group, groups)) {
        expected.push_back(Json::parse(row));
      }
    }
  }
  std::vector<Json> rows = answer.rows;
  std::sort(rows.begin(), rows.end());
  std::sort(expected.begin(), expected.end());
  if (!std::includes(rows.begin(), rows.end(), expected.begin(),
                     expected.end())) {
    AddFinding(findings, Violation::kMissingRows, request,
               std::to_string(rows.size()) + " rows, expected " +
                   std::to_string(expected.size()));
  }
  if (!std::includes(expected.begin(), expected.end(), rows.begin(),
                     rows.end())) {
    AddFinding(findings, Violation::kUnexpectedRows, request,
               std::to_string(rows.size()) + " rows, expected " +
                   std::to_string(expected.size()));
  }
}

bool Oracle::HasRun(const LoadRequest& request) const {
  return m_runs_by_request.contains(RunKey(request));
}

bool Oracle::HasRunIn(const LoadRequest& request,
                      const SnapshotId& snapshot,
                      const std::string& group) const {
  if (!m_reference.reads_have_payload &&
      request.kind != RequestKind::kOperation) {
    return true;
  }
  const auto found = m_runs_by_request.find(RunKey(request));
  if (found == m_runs_by_request.end()) {
    return false;
  }
  return std::any_of(
      found->second.begin(), found->second.end(), [&](size_t index) {
        const RunRecord& run = m_reference.runs[index];
        return (run.group == group || !m_reference.reads_have_payload) &&
               run.snapshot == snapshot;
      });
}

void Oracle::CheckRuns(std::vector<Finding>* findings) const {
  std::map<std::string, size_t> runs;
  for (const RunRecord& run : m_reference.runs) {
    if (run.kind == RequestKind::kOperation) {
      ++runs[run.idempotency_key];
    }
  }
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      findings->push_back(
          {Violation::kDuplicateRun, key, std::to_string(count) + " runs"});
    }
  }
}

}  // namespace wasabihook::load
