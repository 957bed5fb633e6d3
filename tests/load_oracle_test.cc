#include "testing/load/oracle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace wasabihook::load {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using Json = nlohmann::json;

const SnapshotId kCurrentSnapshot{IndexVersion(7), MapVersion(2)};
const SnapshotId kPreviousSnapshot{IndexVersion(6), MapVersion(2)};

LoadRequest Request(RequestKind kind = RequestKind::kSearch) {
  LoadRequest request;
  request.id = "r1";
  request.kind = kind;
  request.index_set = "set";
  request.payload = "q-r1";
  request.record_key = "b";
  request.idempotency_key = "k1";
  return request;
}

RunRecord RunIn(const std::string& group,
                const SnapshotId& snapshot = kCurrentSnapshot,
                RequestKind kind = RequestKind::kSearch) {
  return {.index_set = "set",
          .group = group,
          .snapshot = snapshot,
          .kind = kind,
          .payload = kind == RequestKind::kFetch ? "b" : "q-r1",
          .idempotency_key = "k1"};
}

std::string RowText(const LoadRequest& request,
                    const SnapshotId& snapshot,
                    const std::string& group) {
  return Json{{"q", request.payload},
              {"group", group},
              {"version", snapshot.index_version.value()}}
      .dump();
}

// Two shard groups with one row each for every request; all record keys belong
// to group "b".
ReferenceData MakeReferenceData(std::vector<RunRecord> runs) {
  ReferenceData reference;
  reference.published["set"] = {{kCurrentSnapshot, {{"a", 10}, {"b", 20}}},
                                {kPreviousSnapshot, {{"a", 9}, {"b", 21}}}};
  reference.runs = std::move(runs);
  reference.rows = [](const LoadRequest& request, const SnapshotId& snapshot,
                      const PublishedGroup& group, size_t) {
    return std::vector<std::string>{RowText(request, snapshot, group.id)};
  };
  reference.group_for = [](const std::string&, size_t) { return size_t{1}; };
  return reference;
}

Json CompleteAnswer() {
  return {{"request_id", "r1"},
          {"snapshot", {{"index_version", 7}, {"map_version", 2}}},
          {"coverage",
           {{"groups_asked", 2},
            {"groups_covered", 2},
            {"records_asked", 30},
            {"records_covered", 30},
            {"missing_groups", Json::array()},
            {"complete", true}}},
          {"rows",
           {Json::parse(RowText(Request(), kCurrentSnapshot, "a")),
            Json::parse(RowText(Request(), kCurrentSnapshot, "b"))}}};
}

// Covers group "a" only and states "b" as missing.
Json PartialAnswer() {
  Json body = CompleteAnswer();
  body["coverage"] = {{"groups_asked", 2},       {"groups_covered", 1},
                      {"records_asked", 30},     {"records_covered", 10},
                      {"missing_groups", {"b"}}, {"complete", false}};
  body["rows"].erase(1);
  return body;
}

std::vector<Violation> Check(const LoadRequest& request,
                             int status,
                             const std::string& body,
                             std::vector<RunRecord> runs) {
  const Oracle oracle(MakeReferenceData(std::move(runs)));
  std::vector<Finding> findings;
  Response response;
  response.status = status;
  response.body = body;
  oracle.Check(request, response, &findings);
  oracle.CheckRuns(&findings);
  std::vector<Violation> kinds;
  for (const Finding& finding : findings) {
    kinds.push_back(finding.kind);
  }
  return kinds;
}

std::vector<Violation> CheckSearch(const Json& body) {
  return Check(Request(), 200, body.dump(), {RunIn("a"), RunIn("b")});
}

// Guards against false findings for correct complete answers, partial answers
// and errors.
TEST(Oracle, AcceptsCorrectAnswers) {
  EXPECT_THAT(CheckSearch(CompleteAnswer()), IsEmpty());
  EXPECT_THAT(CheckSearch(PartialAnswer()), IsEmpty());
  const Json error = {{"request_id", "r1"}, {"run_state", "not_run"}};
  EXPECT_THAT(Check(Request(), 429, error.dump(), {}), IsEmpty());
  const Json ran = {{"request_id", "r1"}, {"run_state", "ran"}};
  EXPECT_THAT(Check(Request(), 503, ran.dump(), {RunIn("a")}), IsEmpty());
  EXPECT_THAT(Check(Request(), 0, "", {RunIn("a")}), IsEmpty());
}

// Guards against an answer that is delivered to the wrong caller.
TEST(Oracle, DetectsAnswerToAnotherRequest) {
  Json body = CompleteAnswer();
  body["request_id"] = "r2";
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kRequestIdMismatch));
  body = CompleteAnswer();
  body["rows"][1]["q"] = "q-r2";
  EXPECT_THAT(CheckSearch(body),
              ElementsAre(Violation::kMissingRows, Violation::kUnexpectedRows));
  const Json error = {{"request_id", "r2"}, {"run_state", "ran"}};
  EXPECT_THAT(Check(Request(), 503, error.dump(), {}),
              ElementsAre(Violation::kRequestIdMismatch));
}

// Guards against answers that mix snapshots or name an unpublished one.
TEST(Oracle, DetectsMixedAndUnknownSnapshots) {
  Json body = CompleteAnswer();
  body["rows"][1]["version"] = 6;
  EXPECT_THAT(CheckSearch(body),
              ElementsAre(Violation::kMissingRows, Violation::kUnexpectedRows));
  EXPECT_THAT(Check(Request(), 200, CompleteAnswer().dump(),
                    {RunIn("a"), RunIn("b", kPreviousSnapshot)}),
              ElementsAre(Violation::kNoRecordedRun));
  body = CompleteAnswer();
  body["snapshot"]["map_version"] = 9;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kUnknownSnapshot));
}

// Guards against coverage that is overstated, understated or contradictory.
TEST(Oracle, DetectsIncorrectCoverage) {
  Json body = PartialAnswer();
  body["coverage"]["records_covered"] = 11;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kCoverageMismatch));
  body = PartialAnswer();
  body["coverage"]["complete"] = true;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kCoverageMismatch));
  body = CompleteAnswer();
  body["coverage"]["missing_groups"] = {"z"};
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kCoverageMismatch));
  EXPECT_THAT(Check(Request(), 200, CompleteAnswer().dump(), {RunIn("a")}),
              ElementsAre(Violation::kNoRecordedRun));
}

// Guards against truncated answers, duplicated rows and rows of groups that are
// stated as missing.
TEST(Oracle, DetectsMissingAndUnexpectedRows) {
  Json body = CompleteAnswer();
  body["rows"].erase(1);
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kMissingRows));
  body = CompleteAnswer();
  body["rows"].push_back(body["rows"][0]);
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kUnexpectedRows));
  body = PartialAnswer();
  body["rows"] = CompleteAnswer()["rows"];
  EXPECT_THAT(CheckSearch(body), ElementsAre(Violation::kUnexpectedRows));
  EXPECT_THAT(Check(Request(), 200, CompleteAnswer().dump().substr(0, 80),
                    {RunIn("a"), RunIn("b")}),
              ElementsAre(Violation::kMalformed));
}

// Guards against requests that ran although the response stated not_run, and
// against operations that ran twice.
TEST(Oracle, DetectsFalseNotRunAndDuplicateRuns) {
  const Json error = {{"request_id", "r1"}, {"run_state", "not_run"}};
  EXPECT_THAT(Check(Request(), 429, error.dump(), {RunIn("a")}),
              ElementsAre(Violation::kRanDespiteNotRun));
  const LoadRequest operation = Request(RequestKind::kOperation);
  const RunRecord run = RunIn("b", kCurrentSnapshot, RequestKind::kOperation);
  EXPECT_THAT(Check(operation, 429, error.dump(), {run}),
              ElementsAre(Violation::kRanDespiteNotRun));
  const Json unknown = {{"request_id", "r1"}, {"run_state", "unknown"}};
  EXPECT_THAT(Check(operation, 502, unknown.dump(), {run}), IsEmpty());
  EXPECT_THAT(Check(operation, 502, unknown.dump(), {run, run}),
              ElementsAre(Violation::kDuplicateRun));
}

// Guards against operations whose coverage counts records.
TEST(Oracle, OperationsCoverTheirGroupAndNoRecords) {
  const LoadRequest operation = Request(RequestKind::kOperation);
  const RunRecord run = RunIn("b", kCurrentSnapshot, RequestKind::kOperation);
  Json body = CompleteAnswer();
  body["coverage"] = {{"groups_asked", 1},
                      {"groups_covered", 1},
                      {"records_asked", 0},
                      {"records_covered", 0},
                      {"missing_groups", Json::array()},
                      {"complete", true}};
  EXPECT_THAT(Check(operation, 200, body.dump(), {run}), IsEmpty());
  EXPECT_THAT(Check(operation, 200, body.dump(), {}),
              ElementsAre(Violation::kNoRecordedRun));
  body["coverage"]["records_covered"] = 20;
  EXPECT_THAT(Check(operation, 200, body.dump(), {run}),
              ElementsAre(Violation::kCoverageMismatch));
}

// Guards against a fetch that is checked against the wrong shard group.
TEST(Oracle, ChecksFetchesAgainstTheirGroup) {
  const LoadRequest fetch = Request(RequestKind::kFetch);
  Json body = CompleteAnswer();
  body["coverage"] = {{"groups_asked", 1},
                      {"groups_covered", 1},
                      {"records_asked", 20},
                      {"records_covered", 20},
                      {"missing_groups", Json::array()},
                      {"complete", true}};
  body["rows"].erase(0);
  EXPECT_THAT(Check(fetch, 200, body.dump(),
                    {RunIn("b", kCurrentSnapshot, RequestKind::kFetch)}),
              IsEmpty());
  EXPECT_THAT(Check(fetch, 200, body.dump(),
                    {RunIn("a", kCurrentSnapshot, RequestKind::kFetch)}),
              ElementsAre(Violation::kNoRecordedRun));
}

}  // namespace
}  // namespace wasabihook::load
