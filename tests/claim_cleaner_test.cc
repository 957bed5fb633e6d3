#include "decision/operations/claim_cleaner.h"

#include <gtest/gtest.h>

#include <iostream>

#include "decision/operations/claim_store.h"
#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class ClaimCleanerTest : public ::testing::Test {
 protected:
  std::unique_ptr<ClaimCleaner> MakeCleaner(const std::string& self) {
    return std::make_unique<ClaimCleaner>(
        ClaimCleanerDeps{.timers = &timers,
                         .store = &platform,
                         .self = InstanceId(self),
                         .live_instances =
                             [] {
                               return std::vector<std::string>{"i1", "i2"};
                             },
                         .teams =
                             [] {
                               return std::vector<ClaimCleanerDeps::Team>{
                                   {TeamId("t"), hours(24)}};
                             }});
  }
  // Claims `count` operations at a rate of `per_second` and records an outcome
  // for each.
  void RunOperations(int count, int per_second) {
    for (int i = 0; i < count; ++i) {
      const ClaimKey key{TeamId("t"),
                         IdempotencyKey("order-" + std::to_string(m_next++))};
      claims.Claim(key, Fingerprint(1), timers.Now() + seconds(1),
                   [this, key](const ClaimResult& result) {
                     m_granted += result.status == ClaimStatus::kGranted;
                     OperationOutcome outcome;
                     outcome.run_state = RunState::kRan;
                     claims.Record(key, result.nonce, outcome);
                   });
      timers.Advance(Duration(1'000'000 / per_second));
    }
    timers.Advance(seconds(10));
  }

  testing::ManualTimerService timers;
  testing::FakePlatform platform{&timers, MakeRandomSource(3)};
  KeyValueClaimStore claims{{.timers = &timers,
                             .store = &platform,
                             .random = MakeRandomSource(4),
                             .instance = InstanceId("i1"),
                             .incarnation = Incarnation(1),
                             .on_event = {}}};
  int m_next = 0;
  int m_granted = 0;
};

// Guards against deleting claims while a re-send is still accepted, claims that
// are never deleted, and exceeding the limit of platform calls.
TEST_F(ClaimCleanerTest, RemovesOldClaimsWithinTheCallLimit) {
  RunOperations(300, 50);
  const auto first = MakeCleaner("i1");
  const auto second = MakeCleaner("i2");
  timers.Advance(hours(24));
  EXPECT_EQ(platform.Contents("claims/").size(), 300U);
  RunOperations(10, 50);
  platform.SetFaults({.drop_request_probability = 0.05});
  uint64_t calls = platform.Stats().reads() + platform.Stats().writes();
  for (int i = 0; i < 80 * 60; ++i) {
    timers.Advance(seconds(1));
    const auto stats = platform.Stats();
    EXPECT_LE(stats.reads() + stats.writes() - calls,
              2 * config::kClaimCleanerCallsPerPeriod);
    calls = stats.reads() + stats.writes();
  }
  EXPECT_EQ(platform.Contents("claims/").size(), 10U);
  EXPECT_GT(first->removed(), 100U);
  EXPECT_GT(second->removed(), 100U);
}

// Guards against additional platform calls per operation: the write rate of the
// platform limits the rate of operations. Prints the figures that
// docs/decisions/operation-claims.md quotes.
TEST_F(ClaimCleanerTest, CallsPerOperation) {
  for (const double lost : {0.0, 0.01}) {
    testing::PlatformFaults faults;
    faults.slow = milliseconds(5);
    faults.lost_after = seconds(2);
    faults.lose_write_response_probability = lost;
    platform.SetFaults(faults);
    const auto before = platform.Stats();
    constexpr int kOperations = 3000;
    RunOperations(kOperations, 50);
    const auto after = platform.Stats();
    const uint64_t writes = after.writes() - before.writes();
    const uint64_t reads = after.reads() - before.reads();
    std::cout << "lost " << lost << ": writes per operation "
              << static_cast<double>(writes) / kOperations << ", reads "
              << static_cast<double>(reads) / kOperations << ", bytes per key "
              << after.value_bytes / after.keys << std::endl;
    EXPECT_LE(writes, 2.05 * kOperations);
    EXPECT_LE(static_cast<double>(reads), 3 * lost * kOperations);
  }
}

}  // namespace
}  // namespace wasabihook
