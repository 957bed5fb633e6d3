#include "decision/settings/settings_sync.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "settings_world.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SettingsWorld;

// Bound of the propagation of an accepted change.
constexpr Duration kBound = seconds(5);
const char kTeam[] = "teams/clerks";

std::string TeamText(uint32_t max_queued) {
  return "[team]\nname = \"clerks\"\n[limits]\nmax_queued = " +
         std::to_string(max_queued) + "\n";
}

uint32_t MaxQueued(SettingsWorld& world, size_t node) {
  const auto team = world.node(node).registry->Team(TeamId("clerks"));
  return team ? team->max_queued : 0;
}

// Guards against a quarantine that reaches some instances only by their
// periodic digests, so that a request that crashes servers and is sent again
// within a second through another instance crashes more of them.
TEST(SettingsSyncTest, QuarantineReachesAllInstancesBeforeARepeatedSend) {
  constexpr size_t kInstances = 24;
  SettingsWorld world(11, kInstances);
  world.Run(seconds(5));
  const TeamId team("clerks");
  const Fingerprint body(42);
  CrashQuarantine& first = *world.node(0).quarantine;
  SettingsSync* const sync = world.node(0).sync.get();
  first.SetOnAdded([sync](const QuarantineEntry&) { sync->SpreadNews(); });
  first.ReportCrash(ServerId("a"), {{team, body, {}}});
  first.ReportCrash(ServerId("b"), {{team, body, {}}});
  ASSERT_EQ(first.Check(team, body), Suspicion::kQuarantined);
  // Well below the second after which a repeated send must be refused.
  world.Run(std::chrono::milliseconds(300));
  for (size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(world.node(i).quarantine->Check(team, body),
              Suspicion::kQuarantined)
        << i;
  }
}

// Guards against changes that do not reach instances which hold no watch.
TEST(SettingsSyncTest, ChangeIsInForceEverywhereWithinTheBound) {
  SettingsWorld world(1, 20);
  world.Run(seconds(10));
  size_t watchers = 0;
  for (size_t i = 0; i < world.size(); ++i) {
    watchers += world.node(i).sync->Status().watcher ? 1 : 0;
  }
  EXPECT_EQ(watchers, 2 * config::kWatchersPerDataCentre);
  for (uint32_t change = 1; change <= 5; ++change) {
    world.RawWrite(kTeam, TeamText(change));
    world.Run(kBound);
    for (size_t i = 0; i < world.size(); ++i) {
      EXPECT_EQ(MaxQueued(world, i), change) << i;
    }
  }
}

// Guards against instances that cannot start, or do not learn the newest value,
// while the store is down.
TEST(SettingsSyncTest, PeersSupplyAReplacedInstanceWhileTheStoreIsDown) {
  SettingsWorld world(2);
  world.RawWrite(kTeam, TeamText(7));
  world.Run(seconds(5));
  world.platform().SetFaults({.down = true});
  world.Replace(3);
  world.Run(kBound);
  EXPECT_EQ(MaxQueued(world, 3), 7u);
  EXPECT_FALSE(world.node(3).sync->Status().store_age.has_value());
  EXPECT_TRUE(world.node(3).sync->Status().peer_age.has_value());
}

// Guards against an instance that drops its settings, or hides their age, when
// it is cut off from the store and from all peers.
TEST(SettingsSyncTest, CutOffInstanceServesTheLastValueAndReportsItsAge) {
  SettingsWorld world(3);
  world.RawWrite(kTeam, TeamText(7));
  world.Run(seconds(5));
  world.platform().SetFaults({.down = true});
  world.network().SetCutOff(world.node(0).self.address, true);
  world.Run(seconds(120));
  EXPECT_EQ(MaxQueued(world, 0), 7u);
  EXPECT_GE(*world.node(0).sync->Status().peer_age, seconds(115));
  EXPECT_GE(*world.node(0).sync->Status().store_age, seconds(115));
  world.network().SetCutOff(world.node(0).self.address, false);
  world.platform().SetFaults({});
  world.RawWrite(kTeam, TeamText(8));
  world.Run(kBound);
  EXPECT_EQ(MaxQueued(world, 0), 8u);
}

// Guards against the loss of both watchers of a data centre stopping its
// settings.
TEST(SettingsSyncTest, OthersTakeUpTheWatchOfLostWatchers) {
  SettingsWorld world(4, 12);
  world.Run(seconds(10));
  std::set<size_t> lost;
  for (size_t i = 0; i < world.size(); ++i) {
    if (world.node(i).sync->Status().watcher) {
      lost.insert(i);
      world.network().SetCutOff(world.node(i).self.address, true);
    }
  }
  world.Run(seconds(20));
  size_t watchers = 0;
  for (size_t i = 0; i < world.size(); ++i) {
    watchers +=
        !lost.contains(i) && world.node(i).sync->Status().watcher ? 1 : 0;
  }
  EXPECT_GE(watchers, 2u);
}

// Guards against a call rate that an outage multiplies when it ends.
TEST(SettingsSyncTest, EndOfAnOutageCausesNoSpike) {
  SettingsWorld world(5, 20);
  world.Run(seconds(30));
  world.platform().SetFaults({.down = true});
  world.Run(seconds(60));
  world.platform().SetFaults({});
  uint64_t most = 0;
  for (int second = 0; second < 20; ++second) {
    const auto before = world.platform().Stats();
    world.Run(seconds(1));
    const auto after = world.platform().Stats();
    most = std::max(most, after.reads() + after.writes() - before.reads() -
                              before.writes());
  }
  // 20 list reads a second, 4 announcements, and the watches.
  EXPECT_LE(most, 80u);
}

void Disturb(SettingsWorld& world, uint32_t& value) {
  const auto node = *rc::gen::inRange<size_t>(0, world.size());
  const std::string address = world.node(node).self.address;
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
      world.RawWrite(kTeam, TeamText(++value));
      break;
    case 2:
      world.RawWrite(kTeam, "[team]\nname = 3\n");
      break;
    case 3:
      world.platform().SetFaults({.down = true});
      break;
    case 4:
      world.platform().SetFaults(
          {.slow_jitter = milliseconds(*rc::gen::inRange(0, 500)),
           .list_lag = seconds(*rc::gen::inRange(0, 20))});
      break;
    case 5:
      world.Replace(node);
      break;
    default:
      world.network().SetCutOff(address, !world.network().IsCutOff(address));
  }
  world.Run(milliseconds(*rc::gen::inRange(0, 4000)));
}

void Heal(SettingsWorld& world) {
  world.platform().SetFaults({});
  for (size_t i = 0; i < world.size(); ++i) {
    world.network().SetCutOff(world.node(i).self.address, false);
  }
}

// Guards against values that go back at any instance, and against instances
// that stay behind after outages, partitions, replacements and invalid values.
RC_GTEST_PROP(SettingsSyncTest, InstancesConvergeAndNeverGoBack, ()) {
  SettingsWorld world(*rc::gen::arbitrary<uint64_t>());
  uint32_t value = 1;
  world.RawWrite(kTeam, TeamText(value));
  world.Run(seconds(3));
  const auto steps = *rc::gen::inRange(1, 15);
  for (int i = 0; i < steps; ++i) {
    Disturb(world, value);
  }
  Heal(world);
  world.RawWrite(kTeam, TeamText(++value));
  const Revision newest = world.StoreRevision(kTeam);
  world.Run(kBound);
  for (size_t i = 0; i < world.size(); ++i) {
    RC_ASSERT(!world.node(i).went_back);
    RC_ASSERT(world.node(i).applied[kTeam] == newest);
    RC_ASSERT(MaxQueued(world, i) == value);
  }
}

// Guards against instances that disagree on the value in force after an
// invalid one, depending on which values they saw.
RC_GTEST_PROP(SettingsSyncTest, InvalidNewestValueLeavesAllWithTheSame, ()) {
  SettingsWorld world(*rc::gen::arbitrary<uint64_t>());
  world.RawWrite(kTeam, TeamText(1));
  world.Run(kBound);
  const auto cut_off = *rc::gen::inRange<size_t>(0, world.size());
  world.network().SetCutOff(world.node(cut_off).self.address, true);
  world.RawWrite(kTeam, TeamText(2));
  world.Run(seconds(1));
  world.RawWrite(kTeam, "[team]\nname = 3\n");
  world.Run(milliseconds(*rc::gen::inRange(0, 3000)));
  world.Replace(cut_off);
  world.network().SetCutOff(world.node(cut_off).self.address, false);
  world.Run(seconds(30));
  const uint64_t hash = world.node(0).registry->Hash();
  for (size_t i = 0; i < world.size(); ++i) {
    RC_ASSERT(MaxQueued(world, i) == 2u);
    RC_ASSERT(world.node(i).registry->Hash() == hash);
    RC_ASSERT(world.node(i).registry->Status()[0].rejected.has_value());
  }
}

}  // namespace
}  // namespace wasabihook
