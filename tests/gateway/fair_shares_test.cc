// Division of scarce room among teams, without a network.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <vector>

#include "gateway/admission/fair_shares.h"
#include "gateway/admission_rate.h"
#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

TeamKey Team(uint64_t number) {
  return TeamKey(number);
}

// Pattern: one team at five times its usual, inside its allowance, while a
// third of a shard's servers are down. Guards against others that pay for it.
TEST(FairShares, TheTeamThatAsksForMostGivesWay) {
  FairShares shares;
  TeamDemandDigest demand;
  for (uint64_t i = 0; i < 10; ++i)
    demand[Team(i)] = 10;
  demand[Team(99)] = 500;
  shares.SetDemand(demand);
  // Room for 300 of 600.
  for (uint64_t i = 0; i < 10; ++i)
    EXPECT_DOUBLE_EQ(shares.ShareOf(Team(i), 0.5), 1);
  EXPECT_DOUBLE_EQ(shares.ShareOf(Team(99), 0.5), 200.0 / 500);
}

// Pattern: all teams repeat at once. Guards against one that gets more than
// another.
TEST(FairShares, EqualDemandsGetEqualShares) {
  FairShares shares;
  shares.SetDemand({{Team(1), 50}, {Team(2), 50}, {Team(3), 50}});
  for (uint64_t i = 1; i <= 3; ++i)
    EXPECT_DOUBLE_EQ(shares.ShareOf(Team(i), 0.4), 0.4);
}

// Guards against a change for services with room, and for configurations
// without teams.
TEST(FairShares, LeavesServicesWithRoomAlone) {
  FairShares shares;
  EXPECT_DOUBLE_EQ(shares.ShareOf(Team(1), 0.3), 0.3);
  shares.SetDemand({{Team(1), 5}, {Team(2), 50}});
  EXPECT_DOUBLE_EQ(shares.ShareOf(Team(2), 1), 1);
}

// The sum of what is admitted is the room, and a team gets at least as large a
// share of its demand as any that asks for more.
RC_GTEST_PROP(FairShares, UsesTheRoomAndFavoursNobody, ()) {
  const auto demands = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000)));
  const auto percent = *rc::gen::inRange(1, 100);
  FairShares shares;
  TeamDemandDigest digest;
  double total = 0;
  for (size_t i = 0; i < demands.size(); ++i) {
    digest[Team(i)] = demands[i];
    total += demands[i];
  }
  shares.SetDemand(digest);
  const double share = percent / 100.0;
  double admitted = 0;
  for (size_t i = 0; i < demands.size(); ++i) {
    const double own = shares.ShareOf(Team(i), share);
    admitted += own * demands[i];
    RC_ASSERT(own >= kMinTeamShare * share - 1e-9);
    for (size_t j = 0; j < demands.size(); ++j) {
      if (demands[j] >= demands[i])
        RC_ASSERT(shares.ShareOf(Team(j), share) <= own + 1e-9);
    }
  }
  // The smallest share of a team may add a part of the room.
  RC_ASSERT(admitted >= share * total - 1e-6);
  RC_ASSERT(admitted <= share * total * (1 + kMinTeamShare) + 1e-6);
}

// Pattern: a burst of one team at a service that is already limited. Guards
// against a decision that ignores the shares of teams.
TEST(AdmissionRate, AppliesTheShareOfTheTeam) {
  AdmissionRate rate;
  // Half of the requests find no server.
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = At(milliseconds(5) * i);
    if (rate.Admit(0, 0, now) && i % 2 == 0)
      rate.OnRejected(now);
  }
  ASSERT_TRUE(rate.limited());
  const TimePoint now = At(milliseconds(5) * 400);
  EXPECT_TRUE(rate.Admit(0, 0.99, now, [](double) { return 1.0; }));
  EXPECT_FALSE(rate.Admit(0, 0.01, now, [](double) { return 0.0; }));
}

// --- Demand ---

// Guards against demand that is counted for ever, or only at one instance.
TEST(TeamDemand, AddsUpTheFleetAndFades) {
  TeamDemand root;
  TeamDemand follower;
  const TimePoint now = At({});
  follower.Add(Team(1), 90, now);
  root.Add(Team(1), 10, now);
  root.tree().SetFollower("f", follower.Subtree(now), now);
  EXPECT_DOUBLE_EQ(root.Total(true, now).at(Team(1)), 100);
  const TimePoint later = At(seconds(5));
  EXPECT_TRUE(root.Total(true, later).empty());
}

}  // namespace
}  // namespace wasabihook::gateway
