// Selection of the source of store changes, detection of stalled watches, and
// the encoding of the change feed.

#include <gtest/gtest.h>

#include <chrono>

#include "gateway/change_feed.h"
#include "gateway/feed_selector.h"
#include "gateway/revision_check.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

StorePosition At(uint64_t revision) {
  return {.era = StoreEra(2), .revision = Revision(revision)};
}

FeedSelector MakeSelector(const char* self) {
  FeedSelector selector(InstanceId(self), DataCentreId("a"));
  selector.SetInstance(InstanceId("a-1"), {DataCentreId("a"), "10.0.0.1:1"});
  selector.SetInstance(InstanceId("a-2"), {DataCentreId("a"), "10.0.0.2:1"});
  selector.SetInstance(InstanceId("a-3"), {DataCentreId("a"), "10.0.0.3:1"});
  selector.SetInstance(InstanceId("b-1"), {DataCentreId("b"), "10.0.1.1:1"});
  selector.SetInstance(InstanceId("c-1"), {DataCentreId("c"), "10.0.2.1:1"});
  return selector;
}

// Guards against a watch by every instance: each return of a watch is a call
// that is charged.
TEST(FeedSelector, OnlyTheFirstInstanceOfADataCentreWatchesTheStore) {
  EXPECT_TRUE(MakeSelector("a-1").Select(kStart).is_store());
  EXPECT_EQ(MakeSelector("a-2").Select(kStart).address, "10.0.0.1:1");
  EXPECT_EQ(MakeSelector("a-3").Select(kStart).address, "10.0.0.1:1");
}

// Guards against instances that keep following a failed instance.
TEST(FeedSelector, FallsBackToAncestorThenToStore) {
  // Ten instances precede this one: its parent is the second, its grandparent
  // the first.
  FeedSelector selector(InstanceId("i-99"), DataCentreId("a"));
  for (int i = 10; i < 20; ++i)
    selector.SetInstance(
        InstanceId("i-" + std::to_string(i)),
        {DataCentreId("a"), "10.0.0." + std::to_string(i) + ":1"});
  EXPECT_EQ(selector.Select(kStart).address, "10.0.0.11:1");
  selector.OnPeerFailure("10.0.0.11:1", kStart);
  EXPECT_EQ(selector.Select(kStart).address, "10.0.0.10:1");
  selector.OnPeerUnusable("10.0.0.10:1", kStart);
  EXPECT_TRUE(selector.Select(kStart).is_store());
  EXPECT_EQ(selector.Select(kStart + seconds(4)).address, "10.0.0.11:1");
}

// Guards against one instance that sends every change to the whole data centre:
// with 300 instances the busiest sent 1,230 KB/s.
TEST(FeedSelector, NoInstanceHasMoreChildrenThanTheBound) {
  std::map<std::string, uint32_t> children;
  for (int self = 100; self < 600; ++self) {
    FeedSelector selector(InstanceId("i-" + std::to_string(self)),
                          DataCentreId("a"));
    for (int i = 100; i < 600; ++i)
      selector.SetInstance(InstanceId("i-" + std::to_string(i)),
                           {DataCentreId("a"), "f" + std::to_string(i)});
    if (const FeedSource source = selector.Select(kStart); !source.is_store())
      ++children[source.address];
  }
  for (const auto& [address, count] : children)
    EXPECT_LE(count, kMaxFeedFollowers) << address;
}

// Guards against an instance that gets no changes because the store rejects
// only this instance: it must follow one that watches the store itself.
TEST(FeedSelector, FollowsAnotherDataCentreAfterStoreFailure) {
  FeedSelector selector = MakeSelector("a-1");
  selector.OnStoreFailure(kStart);
  const FeedSource source = selector.Select(kStart);
  EXPECT_EQ(source.address, "10.0.1.1:1");
  EXPECT_TRUE(source.direct_only);
  selector.OnPeerAhead("10.0.2.1:1");
  EXPECT_EQ(selector.Select(kStart).address, "10.0.2.1:1");
  EXPECT_TRUE(selector.Select(kStart + seconds(3)).is_store());
}

// Guards against instances that forget each other when the store revokes their
// leases: each then used the whole retry slack, so that together they exceeded
// the retry budget (BUDGET on hunt-da87-15).
TEST(FeedSelector, RevokedInstancesStillCount) {
  FeedSelector selector = MakeSelector("a-1");
  ASSERT_EQ(selector.other_count(), 4U);
  selector.RemoveInstance(InstanceId("b-1"), kStart);
  selector.RemoveAllInstances(kStart + seconds(1));
  selector.Prune(kStart + seconds(30));
  EXPECT_EQ(selector.other_count(), 4U);
  selector.SetInstance(InstanceId("b-1"), {DataCentreId("b"), "10.0.1.1:1"});
  selector.Prune(kStart + seconds(130));
  EXPECT_EQ(selector.other_count(), 1U);
}

// Guards against a watch that the store keeps open without sending events.
TEST(StalledWatchDetector, ReportsARevisionThatDoesNotArrive) {
  StalledWatchDetector detector(milliseconds(700));
  EXPECT_FALSE(detector.Observe(At(12), At(10), kStart));
  EXPECT_FALSE(detector.Observe(At(12), At(10), kStart + milliseconds(500)));
  EXPECT_TRUE(detector.Observe(At(12), At(10), kStart + milliseconds(800)));
}

// Guards against abandoning a watch that is only slightly behind during a burst
// of changes.
TEST(StalledWatchDetector, CatchingUpWithTheAwaitedRevisionIsEnough) {
  StalledWatchDetector detector(milliseconds(700));
  EXPECT_FALSE(detector.Observe(At(12), At(10), kStart));
  EXPECT_FALSE(detector.Observe(At(20), At(12), kStart + milliseconds(600)));
  EXPECT_FALSE(detector.Observe(At(20), At(13), kStart + milliseconds(900)));
}

TEST(FeedReply, RoundTripsThroughEncoding) {
  FeedReply reply;
  reply.store_reachable = true;
  reply.position = At(9);
  reply.changes.push_back({.key = "k",
                           .value = std::string("\xff\x00{", 3),
                           .revision = Revision(8),
                           .removed = false});
  const FeedReply decoded = DecodeFeedReply(EncodeFeedReply(reply));
  EXPECT_TRUE(decoded.store_reachable);
  EXPECT_FALSE(decoded.direct);
  EXPECT_EQ(decoded.position, At(9));
  ASSERT_EQ(decoded.changes.size(), 1U);
  EXPECT_EQ(decoded.changes[0].value, std::string("\xff\x00{", 3));
}

TEST(InstanceRecord, RoundTripsAndRejectsInvalidValues) {
  const InstanceRecord decoded =
      DecodeInstance(EncodeInstance({DataCentreId("a"), "10.0.0.1:1"}));
  EXPECT_EQ(decoded.feed_address, "10.0.0.1:1");
  EXPECT_THROW(DecodeInstance("a"), std::exception);
}

}  // namespace
}  // namespace wasabihook::gateway
