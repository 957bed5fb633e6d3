#include "testing/load/oracle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace wasabihook::load {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;
using Json = nlohmann::json;

const SnapshotId kNow{IndexVersion(7), MapVersion(2)};
const SnapshotId kBefore{IndexVersion(6), MapVersion(2)};

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
                const SnapshotId& snapshot = kNow,
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

// Two groups, one row each for every request; all keys belong to group "b".
Truth World(std::vector<RunRecord> runs) {
  Truth truth;
  truth.published["set"] = {{kNow, {{"a", 10}, {"b", 20}}},
                            {kBefore, {{"a", 9}, {"b", 21}}}};
  truth.runs = std::move(runs);
  truth.rows = [](const LoadRequest& request, const SnapshotId& snapshot,
                  const PublishedGroup& group, size_t) {
    return std::vector<std::string>{RowText(request, snapshot, group.id)};
  };
  truth.group_for = [](const std::string&, size_t) { return size_t{1}; };
  return truth;
}

Json Whole() {
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
           {Json::parse(RowText(Request(), kNow, "a")),
            Json::parse(RowText(Request(), kNow, "b"))}}};
}

// Covers group "a" only, and says so.
Json Partial() {
  Json body = Whole();
  body["coverage"] = {{"groups_asked", 2},       {"groups_covered", 1},
                      {"records_asked", 30},     {"records_covered", 10},
                      {"missing_groups", {"b"}}, {"complete", false}};
  body["rows"].erase(1);
  return body;
}

std::vector<Wrong> Check(const LoadRequest& request,
                         int status,
                         const std::string& body,
                         std::vector<RunRecord> runs) {
  const Oracle oracle(World(std::move(runs)));
  std::vector<Finding> findings;
  Response response;
  response.status = status;
  response.body = body;
  oracle.Check(request, response, &findings);
  oracle.CheckRuns(&findings);
  std::vector<Wrong> kinds;
  for (const Finding& finding : findings) {
    kinds.push_back(finding.kind);
  }
  return kinds;
}

std::vector<Wrong> CheckSearch(const Json& body) {
  return Check(Request(), 200, body.dump(), {RunIn("a"), RunIn("b")});
}

// Guards against an oracle that finds fault with true answers, whole ones,
// partial ones and errors.
TEST(Oracle, AcceptsTrueAnswers) {
  EXPECT_THAT(CheckSearch(Whole()), IsEmpty());
  EXPECT_THAT(CheckSearch(Partial()), IsEmpty());
  const Json error = {{"request_id", "r1"}, {"run_state", "not_run"}};
  EXPECT_THAT(Check(Request(), 429, error.dump(), {}), IsEmpty());
  const Json ran = {{"request_id", "r1"}, {"run_state", "ran"}};
  EXPECT_THAT(Check(Request(), 503, ran.dump(), {RunIn("a")}), IsEmpty());
  EXPECT_THAT(Check(Request(), 0, "", {RunIn("a")}), IsEmpty());
}

// Guards against an answer that goes to another caller.
TEST(Oracle, CatchesAnotherRequestsAnswer) {
  Json body = Whole();
  body["request_id"] = "r2";
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kOtherRequest));
  body = Whole();
  body["rows"][1]["q"] = "q-r2";
  EXPECT_THAT(CheckSearch(body),
              ElementsAre(Wrong::kMissingRows, Wrong::kForeignRows));
  const Json error = {{"request_id", "r2"}, {"run_state", "ran"}};
  EXPECT_THAT(Check(Request(), 503, error.dump(), {}),
              ElementsAre(Wrong::kOtherRequest));
}

// Guards against answers that mix snapshots or name one that never existed.
TEST(Oracle, CatchesMixedAndUnknownSnapshots) {
  Json body = Whole();
  body["rows"][1]["version"] = 6;
  EXPECT_THAT(CheckSearch(body),
              ElementsAre(Wrong::kMissingRows, Wrong::kForeignRows));
  EXPECT_THAT(
      Check(Request(), 200, Whole().dump(), {RunIn("a"), RunIn("b", kBefore)}),
      ElementsAre(Wrong::kNeverRan));
  body = Whole();
  body["snapshot"]["map_version"] = 9;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kUnknownSnapshot));
}

// Guards against coverage that is overstated, understated or contradictory.
TEST(Oracle, CatchesFalseCoverage) {
  Json body = Partial();
  body["coverage"]["records_covered"] = 11;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kFalseCoverage));
  body = Partial();
  body["coverage"]["complete"] = true;
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kFalseCoverage));
  body = Whole();
  body["coverage"]["missing_groups"] = {"z"};
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kFalseCoverage));
  EXPECT_THAT(Check(Request(), 200, Whole().dump(), {RunIn("a")}),
              ElementsAre(Wrong::kNeverRan));
}

// Guards against truncated answers, duplicated rows and rows of groups that are
// stated as missing.
TEST(Oracle, CatchesRowsThatAreMissingOrTooMany) {
  Json body = Whole();
  body["rows"].erase(1);
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kMissingRows));
  body = Whole();
  body["rows"].push_back(body["rows"][0]);
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kForeignRows));
  body = Partial();
  body["rows"] = Whole()["rows"];
  EXPECT_THAT(CheckSearch(body), ElementsAre(Wrong::kForeignRows));
  EXPECT_THAT(Check(Request(), 200, Whole().dump().substr(0, 80),
                    {RunIn("a"), RunIn("b")}),
              ElementsAre(Wrong::kMalformed));
}

// Guards against work that ran although the caller was told that it did not,
// and against operations that ran twice.
TEST(Oracle, CatchesFalseNotRunAndSecondRuns) {
  const Json error = {{"request_id", "r1"}, {"run_state", "not_run"}};
  EXPECT_THAT(Check(Request(), 429, error.dump(), {RunIn("a")}),
              ElementsAre(Wrong::kRanAfterAll));
  const LoadRequest operation = Request(RequestKind::kOperation);
  const RunRecord run = RunIn("b", kNow, RequestKind::kOperation);
  EXPECT_THAT(Check(operation, 429, error.dump(), {run}),
              ElementsAre(Wrong::kRanAfterAll));
  const Json unknown = {{"request_id", "r1"}, {"run_state", "unknown"}};
  EXPECT_THAT(Check(operation, 502, unknown.dump(), {run}), IsEmpty());
  EXPECT_THAT(Check(operation, 502, unknown.dump(), {run, run}),
              ElementsAre(Wrong::kRanTwice));
}

// Guards against operations that claim to have searched records.
TEST(Oracle, OperationsCoverTheirGroupAndNoRecords) {
  const LoadRequest operation = Request(RequestKind::kOperation);
  const RunRecord run = RunIn("b", kNow, RequestKind::kOperation);
  Json body = Whole();
  body["coverage"] = {{"groups_asked", 1},
                      {"groups_covered", 1},
                      {"records_asked", 0},
                      {"records_covered", 0},
                      {"missing_groups", Json::array()},
                      {"complete", true}};
  EXPECT_THAT(Check(operation, 200, body.dump(), {run}), IsEmpty());
  EXPECT_THAT(Check(operation, 200, body.dump(), {}),
              ElementsAre(Wrong::kNeverRan));
  body["coverage"]["records_covered"] = 20;
  EXPECT_THAT(Check(operation, 200, body.dump(), {run}),
              ElementsAre(Wrong::kFalseCoverage));
}

// Guards against a fetch that is checked against the wrong group.
TEST(Oracle, ChecksFetchesAgainstTheirGroup) {
  const LoadRequest fetch = Request(RequestKind::kFetch);
  Json body = Whole();
  body["coverage"] = {{"groups_asked", 1},
                      {"groups_covered", 1},
                      {"records_asked", 20},
                      {"records_covered", 20},
                      {"missing_groups", Json::array()},
                      {"complete", true}};
  body["rows"].erase(0);
  EXPECT_THAT(
      Check(fetch, 200, body.dump(), {RunIn("b", kNow, RequestKind::kFetch)}),
      IsEmpty());
  EXPECT_THAT(
      Check(fetch, 200, body.dump(), {RunIn("a", kNow, RequestKind::kFetch)}),
      ElementsAre(Wrong::kNeverRan));
}

}  // namespace
}  // namespace wasabihook::load
