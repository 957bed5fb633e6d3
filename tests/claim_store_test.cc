#include "decision/operations/claim_store.h"

#include <gtest/gtest.h>

#include "testing/fake_platform.h"
#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ClaimKey kKey{TeamId("clerks"), IdempotencyKey("order/1 \xC3\xA9")};
const Fingerprint kBody{42};

class ClaimStoreTest : public ::testing::Test {
 protected:
  std::unique_ptr<KeyValueClaimStore> MakeStore(const std::string& instance) {
    return std::make_unique<KeyValueClaimStore>(
        ClaimStoreDeps{.timers = &timers,
                       .store = &platform,
                       .random = MakeRandomSource(5),
                       .instance = InstanceId(instance),
                       .incarnation = Incarnation(1),
                       .on_event = [this](ClaimEvent event, const ClaimKey&) {
                         events.push_back(event);
                       }});
  }
  ClaimResult Claim(ClaimStore& claims,
                    Fingerprint body = kBody,
                    Duration timeout = seconds(1)) {
    ClaimResult result;
    int calls = 0;
    claims.Claim(kKey, body, timers.Now() + timeout, [&](ClaimResult r) {
      result = std::move(r);
      calls++;
    });
    EXPECT_EQ(calls, 0);
    timers.Advance(timeout + milliseconds(1));
    EXPECT_EQ(calls, 1);
    return result;
  }
  static OperationOutcome Ran(std::vector<std::string> rows) {
    return {.run_state = RunState::kRan,
            .rows = std::move(rows),
            .snapshot = {IndexVersion(3), MapVersion(4)}};
  }
  static OperationOutcome NotRun() {
    OperationOutcome outcome;
    outcome.run_state = RunState::kNotRun;
    return outcome;
  }
  std::optional<ClaimRecord> Stored() {
    const auto entries = platform.Contents("claims/");
    return entries.empty() ? std::nullopt : DecodeClaim(entries[0].value);
  }

  testing::ManualTimerService timers;
  testing::FakePlatform platform{&timers, MakeRandomSource(7)};
  std::vector<ClaimEvent> events;
  std::unique_ptr<KeyValueClaimStore> first = MakeStore("i1");
  std::unique_ptr<KeyValueClaimStore> second = MakeStore("i2");
};

// Guards against running an operation twice, on the same or another instance.
TEST_F(ClaimStoreTest, GrantsOnceAndReplaysTheOutcome) {
  const ClaimResult granted = Claim(*first);
  ASSERT_EQ(granted.status, ClaimStatus::kGranted);
  EXPECT_EQ(Claim(*first).status, ClaimStatus::kHeld);
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kHeld);
  timers.Advance(std::chrono::hours(48));
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kHeld);
  first->Record(kKey, granted.nonce, Ran({R"({"a":1})"}));
  timers.RunDue();
  const ClaimResult done = Claim(*second);
  ASSERT_EQ(done.status, ClaimStatus::kAlreadyDone);
  EXPECT_EQ(done.outcome.rows, std::vector<std::string>{R"({"a":1})"});
  EXPECT_EQ(done.outcome.snapshot.map_version, MapVersion(4));
  EXPECT_EQ(Claim(*second, Fingerprint(43)).status, ClaimStatus::kMismatch);
}

// Guards against overwriting a recorded outcome.
TEST_F(ClaimStoreTest, KeepsTheFirstOutcome) {
  const ClaimResult granted = Claim(*first);
  first->Record(kKey, granted.nonce, Ran({"1"}));
  first->Record(kKey, granted.nonce, Ran({"2"}));
  second->Record(kKey, granted.nonce, NotRun());
  second->Record(kKey, "other", NotRun());
  timers.Advance(seconds(1));
  EXPECT_EQ(Claim(*second).outcome.rows, std::vector<std::string>{"1"});
}

// Guards against returning kUnavailable although the write took effect, which
// would block the key permanently.
TEST_F(ClaimStoreTest, ResolvesALostResponseByReadingBack) {
  platform.SetFaults({.lose_write_responses = 1});
  EXPECT_EQ(Claim(*first).status, ClaimStatus::kGranted);
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kHeld);
}

// Guards against repeated calls and a delayed result while the platform is
// down.
TEST_F(ClaimStoreTest, AnswersAtOnceWhileThePlatformIsDown) {
  platform.SetFaults({.down = true});
  bool answered = false;
  first->Claim(kKey, kBody, timers.Now() + seconds(1), [&](ClaimResult r) {
    answered = true;
    EXPECT_EQ(r.status, ClaimStatus::kUnavailable);
  });
  timers.RunDue();
  EXPECT_TRUE(answered);
  EXPECT_EQ(platform.Stats().writes(), 1U);
}

// Guards against a key that stays blocked because the response to its claim
// write arrived after the deadline.
TEST_F(ClaimStoreTest, WithdrawsAClaimThatWasNotGranted) {
  platform.SetFaults({.slow = seconds(3)});
  EXPECT_EQ(Claim(*first).status, ClaimStatus::kUnavailable);
  timers.Advance(seconds(10));
  ASSERT_TRUE(Stored().has_value());
  EXPECT_EQ(Stored()->state, ClaimState::kNotRun);
  platform.SetFaults({});
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kGranted);
  EXPECT_EQ(Claim(*first).status, ClaimStatus::kHeld);
}

// Guards against a delayed write that takes effect after the claim was read
// back as missing, and then blocks the key or leads to a second grant.
TEST_F(ClaimStoreTest, BlocksADelayedWrite) {
  platform.SetFaults({.late_write_probability = 1, .late_by = seconds(60)});
  EXPECT_EQ(Claim(*first, kBody, milliseconds(100)).status,
            ClaimStatus::kUnavailable);
  platform.SetFaults({});
  timers.Advance(seconds(120));
  ASSERT_TRUE(Stored().has_value());
  EXPECT_EQ(Stored()->state, ClaimState::kNotRun);
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kGranted);
}

// Guards against losing an outcome in a platform outage, and against a burst of
// calls at its end.
TEST_F(ClaimStoreTest, RecordsAfterAnOutage) {
  const ClaimResult granted = Claim(*first);
  platform.SetFaults({.down = true});
  first->Record(kKey, granted.nonce, Ran({"1"}));
  timers.Advance(std::chrono::minutes(30));
  EXPECT_EQ(first->unfinished(), 1U);
  EXPECT_LT(platform.Stats().writes(), 500U);
  platform.SetFaults({.lose_write_responses = 1});
  timers.Advance(seconds(30));
  EXPECT_EQ(first->unfinished(), 0U);
  EXPECT_EQ(Claim(*second).status, ClaimStatus::kAlreadyDone);
}

// Guards against granting a claim that was recorded as not run to two requests.
TEST_F(ClaimStoreTest, GrantsAClaimThatDidNotRunToOneRequest) {
  const ClaimResult granted = Claim(*first);
  first->Record(kKey, granted.nonce, NotRun());
  timers.RunDue();
  std::vector<ClaimStatus> statuses;
  for (int i = 0; i < 6; ++i) {
    (i % 2 == 0 ? first : second)
        ->Claim(kKey, kBody, timers.Now() + seconds(1),
                [&](ClaimResult r) { statuses.push_back(r.status); });
  }
  timers.Advance(seconds(2));
  EXPECT_EQ(statuses.size(), 6U);
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), ClaimStatus::kGranted),
            1);
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), ClaimStatus::kHeld),
            5);
}

// Guards against replaying an outcome without its rows as if it were complete.
TEST_F(ClaimStoreTest, DropsLargeRowsAndSetsRowsDropped) {
  const ClaimResult granted = Claim(*first);
  first->Record(kKey, granted.nonce, Ran({std::string(20'000, 'x')}));
  timers.RunDue();
  const ClaimResult done = Claim(*second);
  EXPECT_EQ(done.outcome.run_state, RunState::kRan);
  EXPECT_TRUE(done.outcome.rows_dropped);
  EXPECT_TRUE(done.outcome.rows.empty());
}

// Guards against a grant that replaces a stored value that cannot be decoded.
TEST_F(ClaimStoreTest, TreatsAMalformedClaimAsHeld) {
  platform.CompareAndSwap(ClaimPath(kKey), Revision(0), R"({"version":2})",
                          [](const WriteResult&) {});
  EXPECT_EQ(Claim(*first).status, ClaimStatus::kHeld);
}

}  // namespace
}  // namespace wasabihook
