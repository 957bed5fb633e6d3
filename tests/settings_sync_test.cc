#include "decision/settings/settings_sync.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "settings_cluster.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SettingsCluster;

// Time within which an accepted change must reach all instances.
constexpr Duration kPropagationBound = seconds(5);
const char kTeam[] = "teams/clerks";

std::string TeamText(uint32_t max_queued) {
  return "[team]\nname = \"clerks\"\n[limits]\nmax_queued = " +
         std::to_string(max_queued) + "\n";
}

uint32_t MaxQueued(SettingsCluster& cluster, size_t node) {
  const auto team = cluster.node(node).registry->Team(TeamId("clerks"));
  return team ? team->max_queued : 0;
}

// Guards against a quarantine that reaches some instances only with periodic
// digests. A request that crashes servers could then be resent within a second
// through another instance and crash more servers.
TEST(SettingsSyncTest, QuarantineReachesAllInstancesBeforeAResend) {
  constexpr size_t kInstances = 24;
  SettingsCluster cluster(11, kInstances);
  cluster.Run(seconds(5));
  const TeamId team("clerks");
  const Fingerprint body(42);
  CrashQuarantine& first = *cluster.node(0).quarantine;
  SettingsSync* const sync = cluster.node(0).sync.get();
  first.SetOnAdded([sync](const QuarantineEntry&) { sync->NotifyPeers(); });
  first.ReportCrash(ServerId("a"), {{team, body, {}}});
  first.ReportCrash(ServerId("b"), {{team, body, {}}});
  ASSERT_EQ(first.Check(team, body), QuarantineStatus::kQuarantined);
  // Well below 1 s, after which a resent request must be refused.
  cluster.Run(std::chrono::milliseconds(300));
  for (size_t i = 0; i < kInstances; ++i) {
    EXPECT_EQ(cluster.node(i).quarantine->Check(team, body),
              QuarantineStatus::kQuarantined)
        << i;
  }
}

// Guards against changes that do not reach instances that are not watchers.
TEST(SettingsSyncTest, ChangeIsInForceEverywhereWithinTheBound) {
  SettingsCluster cluster(1, 20);
  cluster.Run(seconds(10));
  size_t watchers = 0;
  for (size_t i = 0; i < cluster.size(); ++i) {
    watchers += cluster.node(i).sync->Status().watcher ? 1 : 0;
  }
  EXPECT_EQ(watchers, 2 * config::kWatchersPerDataCentre);
  for (uint32_t change = 1; change <= 5; ++change) {
    cluster.WriteToStore(kTeam, TeamText(change));
    cluster.Run(kPropagationBound);
    for (size_t i = 0; i < cluster.size(); ++i) {
      EXPECT_EQ(MaxQueued(cluster, i), change) << i;
    }
  }
}

// Guards against instances that cannot start or do not receive the newest value
// while the store is down.
TEST(SettingsSyncTest, PeersSupplyAReplacedInstanceWhileTheStoreIsDown) {
  SettingsCluster cluster(2);
  cluster.WriteToStore(kTeam, TeamText(7));
  cluster.Run(seconds(5));
  cluster.platform().SetFaults({.down = true});
  cluster.Replace(3);
  cluster.Run(kPropagationBound);
  EXPECT_EQ(MaxQueued(cluster, 3), 7u);
  EXPECT_FALSE(cluster.node(3).sync->Status().store_age.has_value());
  EXPECT_TRUE(cluster.node(3).sync->Status().peer_age.has_value());
}

// Guards against an instance that drops its settings or does not report their
// age when it is isolated from the store and from all peers.
TEST(SettingsSyncTest, IsolatedInstanceServesTheLastValueAndReportsItsAge) {
  SettingsCluster cluster(3);
  cluster.WriteToStore(kTeam, TeamText(7));
  cluster.Run(seconds(5));
  cluster.platform().SetFaults({.down = true});
  cluster.network().SetPartitioned(cluster.node(0).self.address, true);
  cluster.Run(seconds(120));
  EXPECT_EQ(MaxQueued(cluster, 0), 7u);
  EXPECT_GE(*cluster.node(0).sync->Status().peer_age, seconds(115));
  EXPECT_GE(*cluster.node(0).sync->Status().store_age, seconds(115));
  cluster.network().SetPartitioned(cluster.node(0).self.address, false);
  cluster.platform().SetFaults({});
  cluster.WriteToStore(kTeam, TeamText(8));
  cluster.Run(kPropagationBound);
  EXPECT_EQ(MaxQueued(cluster, 0), 8u);
}

// Guards against the loss of both watchers of a data centre interrupting the
// propagation of settings to it.
TEST(SettingsSyncTest, OtherInstancesReplaceLostWatchers) {
  SettingsCluster cluster(4, 12);
  cluster.Run(seconds(10));
  std::set<size_t> lost;
  for (size_t i = 0; i < cluster.size(); ++i) {
    if (cluster.node(i).sync->Status().watcher) {
      lost.insert(i);
      cluster.network().SetPartitioned(cluster.node(i).self.address, true);
    }
  }
  cluster.Run(seconds(20));
  size_t watchers = 0;
  for (size_t i = 0; i < cluster.size(); ++i) {
    watchers +=
        !lost.contains(i) && cluster.node(i).sync->Status().watcher ? 1 : 0;
  }
  EXPECT_GE(watchers, 2u);
}

// Guards against a spike in platform calls at the end of an outage.
TEST(SettingsSyncTest, EndOfAnOutageCausesNoSpike) {
  SettingsCluster cluster(5, 20);
  cluster.Run(seconds(30));
  cluster.platform().SetFaults({.down = true});
  cluster.Run(seconds(60));
  cluster.platform().SetFaults({});
  uint64_t most = 0;
  for (int second = 0; second < 20; ++second) {
    const auto before = cluster.platform().Stats();
    cluster.Run(seconds(1));
    const auto after = cluster.platform().Stats();
    most = std::max(most, after.reads() + after.writes() - before.reads() -
                              before.writes());
  }
  // Per second: 20 list reads, 4 announcements and the watches.
  EXPECT_LE(most, 80u);
}

void InjectFault(SettingsCluster& cluster, uint32_t& value) {
  const auto node = *rc::gen::inRange<size_t>(0, cluster.size());
  const std::string address = cluster.node(node).self.address;
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
    case 1:
      cluster.WriteToStore(kTeam, TeamText(++value));
      break;
    case 2:
      cluster.WriteToStore(kTeam, "[team]\nname = 3\n");
      break;
    case 3:
      cluster.platform().SetFaults({.down = true});
      break;
    case 4:
      cluster.platform().SetFaults(
          {.slow_jitter = milliseconds(*rc::gen::inRange(0, 500)),
           .list_lag = seconds(*rc::gen::inRange(0, 20))});
      break;
    case 5:
      cluster.Replace(node);
      break;
    default:
      cluster.network().SetPartitioned(
          address, !cluster.network().IsPartitioned(address));
  }
  cluster.Run(milliseconds(*rc::gen::inRange(0, 4000)));
}

void ClearFaults(SettingsCluster& cluster) {
  cluster.platform().SetFaults({});
  for (size_t i = 0; i < cluster.size(); ++i) {
    cluster.network().SetPartitioned(cluster.node(i).self.address, false);
  }
}

// Guards against a revision that decreases at any instance, and against
// instances that stay behind after outages, partitions, replacements and
// invalid values.
RC_GTEST_PROP(SettingsSyncTest,
              InstancesConvergeAndRevisionsNeverDecrease,
              ()) {
  SettingsCluster cluster(*rc::gen::arbitrary<uint64_t>());
  uint32_t value = 1;
  cluster.WriteToStore(kTeam, TeamText(value));
  cluster.Run(seconds(3));
  const auto steps = *rc::gen::inRange(1, 15);
  for (int i = 0; i < steps; ++i) {
    InjectFault(cluster, value);
  }
  ClearFaults(cluster);
  cluster.WriteToStore(kTeam, TeamText(++value));
  const Revision newest = cluster.StoreRevision(kTeam);
  cluster.Run(kPropagationBound);
  for (size_t i = 0; i < cluster.size(); ++i) {
    RC_ASSERT(!cluster.node(i).revision_decreased);
    RC_ASSERT(cluster.node(i).applied[kTeam] == newest);
    RC_ASSERT(MaxQueued(cluster, i) == value);
  }
}

// Guards against instances that, after an invalid value, have different values
// in force depending on which values they received.
RC_GTEST_PROP(SettingsSyncTest, InstancesAgreeAfterAnInvalidNewestValue, ()) {
  SettingsCluster cluster(*rc::gen::arbitrary<uint64_t>());
  cluster.WriteToStore(kTeam, TeamText(1));
  cluster.Run(kPropagationBound);
  const auto partitioned = *rc::gen::inRange<size_t>(0, cluster.size());
  cluster.network().SetPartitioned(cluster.node(partitioned).self.address,
                                   true);
  cluster.WriteToStore(kTeam, TeamText(2));
  cluster.Run(seconds(1));
  cluster.WriteToStore(kTeam, "[team]\nname = 3\n");
  cluster.Run(milliseconds(*rc::gen::inRange(0, 3000)));
  cluster.Replace(partitioned);
  cluster.network().SetPartitioned(cluster.node(partitioned).self.address,
                                   false);
  cluster.Run(seconds(30));
  const uint64_t hash = cluster.node(0).registry->Hash();
  for (size_t i = 0; i < cluster.size(); ++i) {
    RC_ASSERT(MaxQueued(cluster, i) == 2u);
    RC_ASSERT(cluster.node(i).registry->Hash() == hash);
    RC_ASSERT(cluster.node(i).registry->Status()[0].rejected.has_value());
  }
}

}  // namespace
}  // namespace wasabihook
