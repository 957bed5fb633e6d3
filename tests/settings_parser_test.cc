#include "decision/settings/settings_parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <sstream>

#include "decision/settings/settings_schema.h"

namespace wasabihook {
namespace {

constexpr char kValidTeam[] = R"([team]
name = "sales-desk"
[deadlines]
default_deadline_ms = 500
[coverage]
coverage_policy = "early"
least_coverage = 1
[change]
ids = ["c-1"]
[index_sets.sales-lookup]
index_version = 7
map_version = 2
slots = 4
[[index_sets.sales-lookup.groups]]
id = "g0"
records = 1000
servers = ["127.0.0.1:9001@bay-a", "127.0.0.1:9002@bay-b"]
)";

std::vector<SettingsProblem> CheckTeam(const std::string& text) {
  return CheckSettings("teams/sales-desk", text);
}

// Guards against keys that are accepted but not copied to the settings.
TEST(SettingsParserTest, ReadsEveryPartOfATeam) {
  const TeamDocument document =
      ParseTeamSettings(TeamId("sales-desk"), Revision(5), kValidTeam);
  const TeamSettings& settings = document.settings;
  EXPECT_EQ(settings.revision, Revision(5));
  EXPECT_EQ(settings.default_deadline, std::chrono::milliseconds(500));
  EXPECT_EQ(settings.max_deadline, config::kMaxDeadline);
  EXPECT_EQ(settings.coverage_policy, CoveragePolicy::kEarly);
  EXPECT_EQ(settings.least_coverage.value, 1.0);
  EXPECT_EQ(document.change_ids, std::vector<std::string>({"c-1"}));
  const SnapshotPtr snapshot =
      settings.index_sets.at(IndexSetId("sales-lookup"));
  EXPECT_EQ(snapshot->id.index_version, IndexVersion(7));
  EXPECT_EQ(snapshot->settings_revision, Revision(5));
  EXPECT_EQ(snapshot->server_limits.slots, 4u);
  EXPECT_EQ(snapshot->server_limits.max_connections,
            ServerLimits().max_connections);
  ASSERT_EQ(snapshot->groups.size(), 1u);
  EXPECT_EQ(snapshot->groups[0].servers[1].id, ServerId("127.0.0.1:9002"));
  EXPECT_EQ(snapshot->groups[0].servers[1].data_centre, DataCentreId("bay-b"));
}

// Guards against validation that stops at the first problem.
TEST(SettingsParserTest, ListsAllProblemsWithPathLineValueAndAllowed) {
  const auto problems = CheckTeam(R"([team]
name = "other"
[deadlines]
default_deadline_ms = "soon"
[coverage]
least_coverage = 1.5
[hedging]
canary = true
[index_sets.a]
index_version = 1
[[index_sets.a.groups]]
id = "g0"
records = -1
servers = ["127.0.0.1:9001@bay-a", "127.0.0.1:9001@bay-b"]
)");
  std::map<std::string, SettingsProblem> by_path;
  for (const auto& problem : problems) {
    by_path[problem.path] = problem;
    EXPECT_FALSE(problem.allowed.empty()) << problem.path;
  }
  EXPECT_EQ(by_path.size(), 7u);
  EXPECT_EQ(by_path.at("team.name").line, 2u);
  EXPECT_EQ(by_path.at("deadlines.default_deadline_ms").line, 4u);
  EXPECT_EQ(by_path.at("coverage.least_coverage").value, "1.5");
  EXPECT_EQ(by_path.at("hedging.canary").line, 8u);
  EXPECT_EQ(by_path.at("index_sets.a.map_version").value, "");
  EXPECT_EQ(by_path.at("index_sets.a.groups[0].records").value, "-1");
  EXPECT_EQ(by_path.at("index_sets.a.groups[0].servers").line, 14u);
}

// Guards against invalid TOML that terminates the process or is accepted.
TEST(SettingsParserTest, ReportsSyntaxErrorsWithTheirLine) {
  const auto problems = CheckTeam("[team]\nname = \n");
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].line, 2u);
  EXPECT_EQ(CheckTeam(std::string(config::kMaxSettingsBytes + 1, '#')).size(),
            1u);
}

// Guards against deadlines that contradict each other.
TEST(SettingsParserTest, RejectsDeadlinesAboveTheGreatestOne) {
  const auto problems = CheckTeam(
      "[team]\nname = \"sales-desk\"\n[deadlines]\nmax_deadline_ms = 100\n");
  ASSERT_EQ(problems.size(), 2u);
  EXPECT_EQ(problems[0].path, "deadlines.default_deadline_ms");
}

// Guards against accepting malformed server addresses, to which no connection
// is possible.
TEST(SettingsParserTest, RejectsMalformedServers) {
  for (const std::string server :
       {"127.0.0.1@bay-a", "127.0.0.1:0@bay-a", "127.0.0.1:70000@bay-a",
        "127.0.0.256:1@bay-a", "127.0.0.1:9001", "127.0.0.1:9001@", "", "@",
        "127.0.0.01:9001@bay-a", "127.0.0.1:9001@bay a"}) {
    std::string text = kValidTeam;
    text.replace(text.find("127.0.0.1:9001@bay-a"), 20, server);
    EXPECT_EQ(CheckTeam(text).size(), 1u) << server;
  }
}

// Guards against crashes and unvalidated values for corrupted texts: the result
// is either a valid document or a list of problems.
RC_GTEST_PROP(SettingsParserTest, CorruptedTextIsValidatedOrRejected, ()) {
  std::string text = kValidTeam;
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 8);
    text.replace(
        at, length,
        *rc::gen::element<std::string>("", "\n", "[", "]", "\"", "=", "-1",
                                       "9e99", "\xff", ".", ","));
  }
  try {
    const TeamDocument document =
        ParseTeamSettings(TeamId("sales-desk"), Revision(1), text);
    RC_ASSERT(document.settings.team == TeamId("sales-desk"));
    RC_ASSERT(document.settings.default_deadline <=
              document.settings.max_deadline);
    for (const auto& [id, snapshot] : document.settings.index_sets) {
      RC_ASSERT(!snapshot->groups.empty());
    }
  } catch (const InvalidSettings& error) {
    RC_ASSERT(!error.problems().empty());
  }
}

// Guards against a documentation page that is out of date with the schema.
TEST(SettingsPageTest, ListsExactlyTheSchema) {
  std::ifstream file("docs/settings.md");
  std::stringstream page;
  page << file.rdbuf();
  const std::string marker =
      "<!-- Generated: wasabihookctl settings schema --markdown -->\n";
  const size_t at = page.str().find(marker);
  ASSERT_NE(at, std::string::npos);
  EXPECT_EQ(page.str().substr(at + marker.size()), SchemaAsMarkdown());
}

}  // namespace
}  // namespace wasabihook
