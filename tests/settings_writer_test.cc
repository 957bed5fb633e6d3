#include "decision/settings/settings_writer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kKey[] = "settings/teams/clerks";
const char kBase[] = "# Kept comment\n[team]\nname = \"clerks\"\n";

class WriterFixture {
 public:
  explicit WriterFixture(uint64_t seed)
      : random(MakeRandomSource(seed)),
        platform(&timers, random),
        writer({&timers, &platform, random}) {
    platform.CompareAndSwap(kKey, Revision(0), kBase, [](const auto&) {});
    timers.RunDue();
  }

  KeyValue Stored() { return platform.Contents(kKey).at(0); }

  // Starts a write of `text` over `base`; the result is set on completion.
  std::shared_ptr<std::optional<SettingsWriteResult>> Put(
      const std::string& id,
      const std::string& text,
      const KeyValue& base,
      bool merge) {
    auto result = std::make_shared<std::optional<SettingsWriteResult>>();
    writer.Put({"teams/clerks", text, base.value, base.revision, id, merge},
               seconds(10), [result](SettingsWriteResult r) {
                 ASSERT_FALSE(result->has_value());
                 *result = std::move(r);
               });
    return result;
  }

  testing::ManualTimerService timers;
  RandomSource random;
  testing::FakePlatform platform;
  SettingsWriter writer;
};

// Guards against a write whose response was lost being reported as failed or
// applied twice.
TEST(SettingsWriterTest, LostResponseIsResolvedByReadingBack) {
  WriterFixture fixture(1);
  const KeyValue base = fixture.Stored();
  fixture.platform.SetFaults({.lose_write_responses = 1});
  const auto result = fixture.Put(
      "c-1", base.value + "[limits]\nmax_queued = 3\n", base, false);
  fixture.timers.Advance(seconds(10));
  ASSERT_TRUE(result->has_value());
  EXPECT_EQ((*result)->status, SettingsWriteStatus::kWritten);
  EXPECT_TRUE((*result)->found_applied);
  EXPECT_EQ((*result)->revision, fixture.Stored().revision);
  EXPECT_EQ(fixture.Stored().revision.value(), base.revision.value() + 1);
  EXPECT_NE(fixture.Stored().value.find("# Kept comment"), std::string::npos);
  const auto again = fixture.Put(
      "c-1", base.value + "[limits]\nmax_queued = 3\n", base, false);
  fixture.timers.Advance(seconds(10));
  EXPECT_EQ((*again)->status, SettingsWriteStatus::kWritten);
  EXPECT_EQ(fixture.Stored().revision.value(), base.revision.value() + 1);
}

// Guards against a write that overwrites a concurrent change written before it.
TEST(SettingsWriterTest, ConflictShowsBothChangesAndMergesOnlyOtherKeys) {
  WriterFixture fixture(2);
  const KeyValue base = fixture.Stored();
  const auto first = fixture.Put(
      "c-1", base.value + "[limits]\nmax_queued = 3\n", base, false);
  fixture.timers.Advance(seconds(1));
  EXPECT_EQ((*first)->status, SettingsWriteStatus::kWritten);
  const auto same_key =
      fixture.Put("c-2", base.value + "[limits]\nmax_queued = 4\n", base, true);
  const std::string other_key = base.value + "[hedging]\nmax_attempts = 2\n";
  const auto unmerged = fixture.Put("c-3", other_key, base, false);
  fixture.timers.Advance(seconds(1));
  EXPECT_EQ((*same_key)->status, SettingsWriteStatus::kConflict);
  ASSERT_EQ((*same_key)->conflicts.size(), 1u);
  EXPECT_EQ((*same_key)->conflicts[0].path, "limits.max_queued");
  EXPECT_EQ((*same_key)->conflicts[0].ours, "4");
  EXPECT_EQ((*same_key)->conflicts[0].theirs, "3");
  EXPECT_EQ((*unmerged)->status, SettingsWriteStatus::kConflict);
  const auto merged = fixture.Put("c-4", other_key, base, true);
  fixture.timers.Advance(seconds(1));
  EXPECT_EQ((*merged)->status, SettingsWriteStatus::kWritten);
  EXPECT_TRUE((*merged)->merged);
  const TeamSettings settings =
      ParseTeamSettings(TeamId("clerks"), Revision(1), fixture.Stored().value)
          .settings;
  EXPECT_EQ(settings.max_queued, 3u);
  EXPECT_EQ(settings.max_attempts, 2u);
}

// Guards against invalid values in the store, and against a definite result for
// writes whose outcome is not known.
TEST(SettingsWriterTest, ReportsInvalidUnavailableAndUnknown) {
  WriterFixture fixture(3);
  const KeyValue base = fixture.Stored();
  const auto invalid = fixture.Put("c-1", "[team]\n", base, false);
  const auto unnamed = fixture.Put("", base.value, base, false);
  fixture.timers.Advance(seconds(1));
  EXPECT_EQ((*invalid)->status, SettingsWriteStatus::kInvalid);
  EXPECT_EQ((*invalid)->problems.at(0).path, "team.name");
  EXPECT_EQ((*unnamed)->status, SettingsWriteStatus::kInvalid);
  EXPECT_EQ(fixture.Stored().revision, base.revision);
  fixture.platform.SetFaults({.down = true});
  const auto unavailable = fixture.Put("c-2", base.value, base, false);
  fixture.timers.Advance(seconds(20));
  EXPECT_EQ((*unavailable)->status, SettingsWriteStatus::kUnavailable);
  fixture.platform.SetFaults({.lose_write_response_probability = 1});
  const auto unknown = fixture.Put("c-3", base.value, base, false);
  fixture.timers.Advance(milliseconds(0));
  fixture.platform.SetFaults({.down = true});
  fixture.timers.Advance(seconds(20));
  EXPECT_EQ((*unknown)->status, SettingsWriteStatus::kUnknown);
}

// Guards against differences and merges that miss nested or removed keys.
TEST(SettingsTextTest, MergesByKey) {
  const std::string base = "[a]\nx = 1\ny = 2\n[b]\nz = [1, 2]\n";
  const SettingsMerge merge =
      MergeSettings(base, "[a]\nx = 5\n[b]\nz = [1, 2]\n[c]\nn = true\n",
                    "[a]\nx = 1\ny = 2\n[b]\nz = [3]\n");
  EXPECT_TRUE(merge.conflicts.empty());
  EXPECT_TRUE(
      DiffSettings(merge.text, "[a]\nx = 5\n[b]\nz = [3]\n[c]\nn = true\n")
          .empty());
  const SettingsMerge both =
      MergeSettings(base, "[a]\nx = 1\n", "[a]\nx = 1\ny = 3\n");
  ASSERT_EQ(both.conflicts.size(), 1u);
  EXPECT_EQ(both.conflicts[0].path, "a.y");
  EXPECT_FALSE(both.conflicts[0].ours.has_value());
  EXPECT_EQ(MergeSettings(base, "[a]\nx = 1\ny = 2\n", base).text,
            "[a]\nx = 1\ny = 2\n");
}

// Guards against lost or duplicated change ids and removed operator comments,
// for different forms of the `change` table.
TEST(SettingsTextTest, ReplacesOnlyTheChangeIds) {
  const std::vector<std::string> ids = {"c-1", "c-2"};
  const std::string team = "# Desk\n[team]\nname = \"clerks\" # kept\n";
  for (const std::string change :
       {"", "[change]\nids = [\"c-0\"]\n", "[change] # last\nids = [\n]\n",
        "[ change ]\nids = []\n"}) {
    for (const std::string& text :
         {team + change, change + team, team + change + "[limits]\n"}) {
      const std::string result = WithChangeIds(text, ids);
      EXPECT_EQ(ReadChangeIds(result), ids) << text;
      EXPECT_TRUE(DiffSettings(text, result).empty()) << text;
      EXPECT_EQ(InferSubtree(result), "teams/clerks");
      if (!change.starts_with("[ ")) {
        EXPECT_NE(result.find("# kept"), std::string::npos) << text;
      }
    }
  }
  const std::string inline_table = "change = {ids = []}\n" + team;
  EXPECT_EQ(ReadChangeIds(WithChangeIds(inline_table, ids)), ids);
}

std::string WithIndexSet(const std::string& text, const std::string& name) {
  return text + "\n[index_sets." + name +
         "]\nindex_version = 1\nmap_version = 1\n[[index_sets." + name +
         ".groups]]\nid = \"g0\"\nrecords = 1\nservers = "
         "[\"127.0.0.1:9001@bay-a\"]\n";
}

std::set<std::string> IndexSets(const std::string& text) {
  std::set<std::string> names;
  for (const auto& [id, snapshot] :
       ParseTeamSettings(TeamId("clerks"), Revision(1), text)
           .settings.index_sets) {
    names.insert(id.value());
  }
  return names;
}

// Guards against accepted changes that are lost, refused ones that take effect
// and changes that are applied twice, with concurrent and delayed writers whose
// responses are lost, late or dropped. Each change adds its own index set. Some
// later changes remove one, so that an addition applied twice is detected.
RC_GTEST_PROP(SettingsWriterTest, AcceptedWritesAreAppliedExactlyOnce, ()) {
  WriterFixture fixture(*rc::gen::arbitrary<uint64_t>());
  using Pending = std::shared_ptr<std::optional<SettingsWriteResult>>;
  struct Change {
    std::string adds;
    std::string removes;
    Pending result;
  };
  std::vector<Change> changes;
  const auto rounds = *rc::gen::inRange(1, 5);
  for (int round = 0; round < rounds; ++round) {
    fixture.platform.SetFaults(
        {.slow_jitter = milliseconds(*rc::gen::inRange(0, 3000)),
         .lose_write_response_probability = 0.3,
         .drop_request_probability = 0.1,
         .late_write_probability = 0.2,
         .late_by = milliseconds(*rc::gen::inRange(0, 4000)),
         .lost_after = milliseconds(*rc::gen::inRange(0, 500))});
    const KeyValue base = fixture.Stored();
    const std::set<std::string> present = IndexSets(base.value);
    const auto writers = *rc::gen::inRange(1, 4);
    for (int w = 0; w < writers; ++w) {
      const std::string name =
          "s" + std::to_string(round) + "-" + std::to_string(w);
      const std::string id = "c-" + name;
      const bool merge = *rc::gen::arbitrary<bool>();
      if (w == 0 && !present.empty()) {
        // Removes an index set that the base contains.
        changes.push_back(
            {"", *present.begin(),
             fixture.Put(id,
                         MergeSettings(WithIndexSet(kBase, *present.begin()),
                                       kBase, base.value)
                             .text,
                         base, merge)});
      } else {
        changes.push_back(
            {name, "",
             fixture.Put(id, WithIndexSet(base.value, name), base, merge)});
      }
    }
    fixture.timers.Advance(seconds(30));
  }
  std::map<std::string, bool> certain;  // Name: present.
  std::set<std::string> uncertain;
  for (const Change& change : changes) {
    RC_ASSERT(change.result->has_value());
    const SettingsWriteStatus status = (*change.result)->status;
    RC_ASSERT(status != SettingsWriteStatus::kInvalid);
    const std::string name = change.adds.empty() ? change.removes : change.adds;
    if (status == SettingsWriteStatus::kUnknown) {
      uncertain.insert(name);
    } else if (status == SettingsWriteStatus::kWritten) {
      certain[name] = change.removes.empty();
    } else if (change.removes.empty()) {
      certain[name] = false;
    }
  }
  const std::set<std::string> present = IndexSets(fixture.Stored().value);
  for (const auto& [name, expected] : certain) {
    if (!uncertain.contains(name)) {
      RC_ASSERT(present.contains(name) == expected);
    }
  }
}

}  // namespace
}  // namespace wasabihook
