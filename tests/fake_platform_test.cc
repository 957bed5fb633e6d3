#include "testing/fake_platform.h"

#include <gtest/gtest.h>

#include "testing/manual_timer_service.h"

namespace wasabihook::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakePlatformTest : public ::testing::Test {
 protected:
  WriteResult Write(const std::string& key,
                    Revision expected,
                    const std::string& value) {
    WriteResult result;
    platform.CompareAndSwap(key, expected, value,
                            [&](WriteResult r) { result = std::move(r); });
    timers.Advance(seconds(1));
    return result;
  }
  GetResult Read(const std::string& key) {
    GetResult result;
    platform.Get(key, [&](GetResult r) { result = std::move(r); });
    timers.Advance(seconds(1));
    return result;
  }

  ManualTimerService timers;
  FakePlatform platform{&timers, MakeRandomSource(7)};
};

// Compare-and-swap must fail unless the expected revision matches.
TEST_F(FakePlatformTest, CompareAndSwapChecksRevision) {
  const Revision first = Write("a", Revision(0), "1").revision;
  const WriteResult again = Write("a", Revision(0), "2");
  EXPECT_EQ(again.status, StoreStatus::kConflict);
  ASSERT_TRUE(again.current.has_value());
  EXPECT_EQ(again.current->value, "1");
  const WriteResult swapped = Write("a", first, "2");
  EXPECT_EQ(swapped.status, StoreStatus::kOk);
  EXPECT_GT(swapped.revision, first);
  EXPECT_EQ(Write("b", Revision(9), "1").status, StoreStatus::kConflict);
}

// A write with a lost response must take effect, a dropped request must not,
// and both must report kUnknown.
TEST_F(FakePlatformTest, LostMessagesReturnUnknown) {
  platform.SetFaults(
      {.lose_write_responses = 1, .lost_after = milliseconds(9)});
  EXPECT_EQ(Write("a", Revision(0), "1").status, StoreStatus::kUnknown);
  EXPECT_EQ(Read("a").entry.value, "1");
  platform.SetFaults({.drop_requests = 1});
  EXPECT_EQ(Write("b", Revision(0), "1").status, StoreStatus::kUnknown);
  EXPECT_EQ(Read("b").status, StoreStatus::kNotFound);
  platform.SetFaults({.down = true});
  EXPECT_EQ(Write("c", Revision(0), "1").status, StoreStatus::kUnavailable);
}

// A watch must complete on a change, a deletion or a timeout, and must count as
// one call.
TEST_F(FakePlatformTest, WatchEndsOnChangeOrTimeout) {
  const Revision first = Write("s/a", Revision(0), "1").revision;
  int results = 0;
  ListResult last;
  const auto watch = [&](Revision newer_than) {
    platform.List("s/", newer_than, seconds(30), [&](ListResult result) {
      results++;
      last = std::move(result);
    });
    timers.Advance(seconds(1));
  };
  watch(first);
  Write("other", Revision(0), "1");
  EXPECT_EQ(results, 0);
  EXPECT_EQ(Write("s/a", first, "2").status, StoreStatus::kOk);
  EXPECT_EQ(results, 1);
  watch(last.store_revision);
  platform.Delete("s/a", last.entries.at(0).revision, [](WriteResult) {});
  timers.Advance(seconds(1));
  EXPECT_EQ(results, 2);
  EXPECT_TRUE(last.entries.empty());
  watch(last.store_revision);
  timers.Advance(seconds(30));
  EXPECT_EQ(results, 3);
  EXPECT_EQ(platform.Stats().count(PlatformCall::kWatch), 3U);
}

// A renewal must extend the lease. Without one the lease must expire and remove
// its keys.
TEST_F(FakePlatformTest, ExpiredLeaseRemovesItsKeys) {
  uint64_t lease = 0;
  platform.GrantLease(seconds(5),
                      [&](StoreStatus, uint64_t id) { lease = id; });
  timers.RunDue();
  platform.CompareAndSwapWithLease("l", Revision(0), "1", lease,
                                   [](WriteResult) {});
  timers.Advance(seconds(4));
  platform.KeepLeaseAlive(lease, [](StoreStatus) {});
  timers.Advance(seconds(4));
  EXPECT_EQ(platform.Contents("l").size(), 1U);
  timers.Advance(seconds(2));
  EXPECT_TRUE(platform.Contents("l").empty());
  StoreStatus status = StoreStatus::kOk;
  platform.KeepLeaseAlive(lease, [&](StoreStatus s) { status = s; });
  timers.RunDue();
  EXPECT_EQ(status, StoreStatus::kNotFound);
}

// The instance list must lag by the configured time, as the platform's does.
TEST_F(FakePlatformTest, InstanceListIsDelayed) {
  platform.SetFaults({.list_lag = seconds(10)});
  platform.Announce({.id = InstanceId("i1"),
                     .peer_address = "127.0.0.1:1",
                     .data_centre = DataCentreId("a"),
                     .incarnation = Incarnation(1)},
                    [](StoreStatus) {});
  size_t listed = 99;
  const auto list = [&] {
    platform.ListInstances(
        [&](InstanceListResult r) { listed = r.instances.size(); });
    timers.RunDue();
  };
  timers.Advance(seconds(9));
  list();
  EXPECT_EQ(listed, 0U);
  timers.Advance(seconds(2));
  list();
  EXPECT_EQ(listed, 1U);
}

// Calls above the rate limit must be refused without effect on the store.
TEST_F(FakePlatformTest, RefusesCallsAboveRateLimit) {
  platform.SetFaults({.max_writes_per_s = 3, .max_reads_per_s = 100});
  int refused = 0;
  for (int i = 0; i < 5; ++i) {
    platform.CompareAndSwap(std::to_string(i), Revision(0), "", [&](auto r) {
      refused += r.status == StoreStatus::kUnavailable;
    });
  }
  timers.RunDue();
  EXPECT_EQ(refused, 2);
  EXPECT_EQ(platform.Contents("").size(), 3U);
  EXPECT_EQ(platform.Stats().writes(), 5U);
}

}  // namespace
}  // namespace wasabihook::testing
