#include "decision/membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::seconds;

PeerIdentity Identity(int host, uint64_t incarnation) {
  return {InstanceId("i-" + std::to_string(host)), Incarnation(incarnation),
          "127.0.0." + std::to_string(host) + ":7000", DataCentreId("bay-a")};
}

ListedInstance Listed(int host,
                      uint64_t incarnation,
                      ListedState state = ListedState::kLive) {
  const PeerIdentity identity = Identity(host, incarnation);
  return {identity.instance, identity.address, identity.data_centre,
          identity.incarnation, state};
}

TimePoint At(int64_t second) {
  return {seconds(second)};
}

std::map<std::string, Member> ByAddress(const MemberTable& table) {
  std::map<std::string, Member> members;
  for (const Member& member : table.Members()) {
    members[member.identity.address] = member;
  }
  return members;
}

// Guards against an outdated list that restores a replaced instance or one that
// announced that it is leaving.
TEST(MemberTableTest, DirectContactTakesPrecedenceOverTheList) {
  MemberTable table(Identity(1, 1));
  table.OnList({Listed(2, 20), Listed(3, 30)}, At(0));
  table.OnMessage(Identity(2, 21), false, At(1));
  table.OnMessage(Identity(3, 30), true, At(1));
  table.OnList({Listed(2, 20), Listed(3, 30)}, At(2));
  auto members = ByAddress(table);
  EXPECT_EQ(members.at(Identity(2, 0).address).identity.incarnation,
            Incarnation(21));
  EXPECT_EQ(members.at(Identity(3, 0).address).state, MemberState::kLeaving);
  // Late message from the replaced instance.
  table.OnMessage(Identity(2, 20), false, At(40));
  table.OnList({Listed(2, 20), Listed(3, 30)}, At(60));
  members = ByAddress(table);
  EXPECT_EQ(members.at(Identity(2, 0).address).identity.incarnation,
            Incarnation(21));
}

// Guards against instances that are never removed, and against instances that
// are removed because of a single outdated list.
TEST(MemberTableTest, UnlistedInstanceIsRemovedUnlessItSendsMessages) {
  MemberTable table(Identity(1, 1));
  table.OnList({Listed(2, 20), Listed(3, 30)}, At(0));
  for (int i = 1; i <= 20; ++i) {
    table.OnMessage(Identity(2, 20), false, At(i));
    table.OnList({}, At(i));
    EXPECT_EQ(table.size(), i < 3 ? 3u : 2u) << i;
  }
  EXPECT_FALSE(table.self_listed());
}

// Guards against calling instances that do not answer, and against instances
// that stay suspect after they send a message.
TEST(MemberTableTest, UnansweredCallsMakeASuspectUntilItSendsAMessage) {
  MemberTable table(Identity(1, 1));
  const std::string address = Identity(2, 0).address;
  table.OnList({Listed(2, 20)}, At(0));
  table.OnUnreachable(address, At(1));
  EXPECT_EQ(ByAddress(table).at(address).state, MemberState::kLive);
  table.OnUnreachable(address, At(2));
  EXPECT_EQ(ByAddress(table).at(address).state, MemberState::kSuspect);
  table.OnList({Listed(2, 20)}, At(3));
  EXPECT_EQ(ByAddress(table).at(address).state, MemberState::kSuspect);
  table.OnMessage(Identity(2, 20), false, At(4));
  EXPECT_EQ(ByAddress(table).at(address).state, MemberState::kLive);
  table.OnUnreachable(address, At(5));
  table.OnUnreachable(address, At(6));
  // Without a recent list, a suspect is removed after a time.
  table.Expire(At(60));
  EXPECT_EQ(table.size(), 1u);
}

// Guards against a replaced incarnation or an instance that has left becoming
// live again.
RC_GTEST_PROP(MemberTableTest, ReplacedAndLeavingInstancesNeverReturn, ()) {
  MemberTable table(Identity(1, 1));
  std::map<int, uint64_t> newest = {{2, 1}, {3, 1}, {4, 1}};
  std::map<int, bool> left;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    const int host = *rc::gen::inRange(2, 5);
    const std::string address = Identity(host, 0).address;
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        left[host] = false;
        table.OnMessage(Identity(host, ++newest[host]), false, At(step));
        break;
      case 1:
        left[host] = true;
        table.OnMessage(Identity(host, newest[host]), true, At(step));
        break;
      case 2:
        table.OnUnreachable(address, At(step));
        break;
      default: {
        // A list with the current or any earlier incarnation.
        const auto old = *rc::gen::inRange<uint64_t>(1, newest[host] + 1);
        table.OnList({Listed(host, old)}, At(step));
      }
    }
    for (const auto& [host_number, incarnation] : newest) {
      const auto members = ByAddress(table);
      const auto it = members.find(Identity(host_number, 0).address);
      if (it == members.end() || !it->second.last_message_at) {
        continue;
      }
      RC_ASSERT(it->second.identity.incarnation == Incarnation(incarnation));
      RC_ASSERT(!left[host_number] || it->second.state != MemberState::kLive);
    }
  }
}

// Guards against counts that do not follow the platform's list, and against a
// leave announcement that is lost in an outage.
TEST(MembershipTest, AnnouncesItselfAndThatItLeaves) {
  testing::ManualTimerService timers;
  testing::FakePlatform platform(&timers, MakeRandomSource(1));
  std::vector<std::shared_ptr<Membership>> instances;
  for (int host = 1; host <= 3; ++host) {
    instances.push_back(Membership::Create({.timers = &timers,
                                            .list = &platform,
                                            .random = MakeRandomSource(host),
                                            .self = Identity(host, 7)}));
  }
  MembershipCounts published;
  instances[0]->Subscribe(
      [&](const MembershipCounts& counts) { published = counts; });
  for (auto& instance : instances) {
    instance->Start();
  }
  timers.Advance(seconds(5));
  EXPECT_EQ(instances[0]->Counts(), (MembershipCounts{3, 3, 3}));
  EXPECT_EQ(published, instances[0]->Counts());
  platform.SetFaults({.down = true});
  bool left = false;
  instances[2]->Leave([&] { left = true; });
  timers.Advance(seconds(20));
  EXPECT_FALSE(left);
  platform.SetFaults({});
  timers.Advance(seconds(30));
  EXPECT_TRUE(left);
  EXPECT_EQ(published, (MembershipCounts{2, 3, 2}));
}

}  // namespace
}  // namespace wasabihook
