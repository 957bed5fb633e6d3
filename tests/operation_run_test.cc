#include "query_tier_fixture.h"
#include "wasabihook/config.h"

namespace wasabihook::testing {
namespace {

class OperationRunTest : public QueryTierFixture {
 protected:
  // Submits a request and processes the result of its claim.
  size_t Run(CallerRequest request) {
    const size_t index = Submit(std::move(request));
    timers.RunDue();
    return index;
  }

  std::optional<RunState> Recorded(const std::string& key) {
    const auto outcome = claims.OutcomeOf({kTeam, IdempotencyKey(key)});
    return outcome ? std::optional(outcome->run_state) : std::nullopt;
  }
};

// Guards against running a request again after its claim was deleted, and
// against clock skew above the margin.
TEST_F(OperationRunTest, RefusesInvalidIssueTimes) {
  using std::chrono::duration_cast;
  const auto margin = duration_cast<milliseconds>(config::kClockMargin);
  const auto kept =
      duration_cast<milliseconds>(settings.claim_retention) - margin;
  CallerRequest old = Operation("k1");
  old.issued_at = old.issued_at - kept - milliseconds(1);
  ExpectError(Run(old), ErrorCode::kRequestTooOld, RunState::kNotRun);
  CallerRequest future = Operation("k2");
  future.issued_at = future.issued_at + margin + milliseconds(1);
  ExpectError(Run(future), ErrorCode::kInvalidRequest, RunState::kNotRun);
  ExpectError(Run(Operation("")), ErrorCode::kInvalidRequest,
              RunState::kNotRun);
  EXPECT_TRUE(transport.Sent().empty());
  CallerRequest oldest = Operation("k3");
  oldest.issued_at = oldest.issued_at - kept;
  Run(oldest);
  EXPECT_EQ(transport.Sent().size(), 1U);
}

// Guards against a re-send that runs again or gets a different answer.
TEST_F(OperationRunTest, ReplaysTheRecordedOutcome) {
  const size_t first = Run(Operation("k1"));
  transport.Answer(transport.Sent()[0].id, 0, {"done"});
  EXPECT_EQ(Recorded("k1"), RunState::kRan);
  const size_t again = Run(Operation("k1"));
  EXPECT_EQ(AnswerOf(again).rows, AnswerOf(first).rows);
  EXPECT_FALSE(AnswerOf(first).replayed);
  EXPECT_TRUE(AnswerOf(again).replayed);
  ExpectError(Run(Operation("k1", "another body")), ErrorCode::kClaimConflict,
              RunState::kNotRun);
  EXPECT_EQ(transport.Sent().size(), 1U);
}

// Guards against a second dispatch when the operation may have run.
TEST_F(OperationRunTest, NeverDispatchesAgainAfterAnUnknownOutcome) {
  int key = 0;
  for (const SubOutcome outcome :
       {SubOutcome::kTimedOut, SubOutcome::kConnectionLost,
        SubOutcome::kInvalidReply, SubOutcome::kServerError}) {
    const std::string name = "k" + std::to_string(key++);
    const CallerRequest request = Operation(name, "body " + name);
    const size_t r = Run(request);
    const size_t sent = transport.Sent().size();
    transport.Fail(transport.Sent().back().id, outcome);
    ExpectError(r,
                outcome == SubOutcome::kTimedOut ? ErrorCode::kDeadlineExceeded
                                                 : ErrorCode::kBackendFailed,
                RunState::kUnknown);
    EXPECT_EQ(Recorded(name), RunState::kUnknown);
    ExpectError(Run(request), ErrorCode::kBackendFailed, RunState::kUnknown);
    timers.Advance(milliseconds(1000));
    EXPECT_EQ(transport.Sent().size(), sent);
  }
}

// Guards against an operation that fails because one server refused it, and a
// refused one that blocks its re-send.
TEST_F(OperationRunTest, RefusalBeforeRunningAllowsAnotherServer) {
  const size_t r = Run(Operation("k1"));
  transport.Fail(transport.Sent()[0].id, SubOutcome::kDraining);
  timers.Advance(milliseconds(5));
  ASSERT_EQ(transport.Sent().size(), 2U);
  EXPECT_NE(transport.Sent()[0].server, transport.Sent()[1].server);
  transport.Answer(transport.Sent()[1].id, 0, {"done"});
  EXPECT_EQ(AnswerOf(r).rows, std::vector<std::string>({"done"}));
  budget.SetTokens(0);
  const size_t refused = Run(Operation("k2"));
  transport.Fail(transport.Outstanding()[0].id, SubOutcome::kOverloaded);
  ExpectError(refused, ErrorCode::kOverloaded, RunState::kNotRun);
  EXPECT_EQ(Recorded("k2"), RunState::kNotRun);
  const size_t again = Run(Operation("k2"));
  transport.Answer(transport.Outstanding()[0].id, 0, {"done"});
  EXPECT_FALSE(AnswerOf(again).replayed);
}

// Guards against running an operation without a claim.
TEST_F(OperationRunTest, DoesNotDispatchWithoutAClaim) {
  claims.SetUnavailable(true);
  ExpectError(Run(Operation("k1")), ErrorCode::kPlatformUnavailable,
              RunState::kNotRun);
  claims.SetUnavailable(false);
  claims.LoseResponses(1);
  ExpectError(Run(Operation("k2")), ErrorCode::kPlatformUnavailable,
              RunState::kNotRun);
  ExpectError(Run(Operation("k2")), ErrorCode::kClaimConflict,
              RunState::kUnknown);
  EXPECT_TRUE(transport.Sent().empty());
}

// Guards against a dispatch without enough time left, and a claim that
// blocks a re-send although nothing ran.
TEST_F(OperationRunTest, LateClaimIsReleased) {
  claims.SetDelay(milliseconds(997));
  const size_t late = Submit(Operation("k1"));
  timers.Advance(milliseconds(997));
  ExpectError(late, ErrorCode::kDeadlineTooShort, RunState::kNotRun);
  EXPECT_EQ(Recorded("k1"), RunState::kNotRun);
  claims.SetDelay(milliseconds(3000));
  const size_t later = Submit(Operation("k2"));
  timers.Advance(milliseconds(1000));
  ExpectError(later, ErrorCode::kPlatformUnavailable, RunState::kNotRun);
  timers.Advance(milliseconds(2000));
  EXPECT_EQ(Recorded("k2"), RunState::kNotRun);
  EXPECT_TRUE(transport.Sent().empty());
  EXPECT_EQ(tier->in_flight(), 0U);
}

// Guards against a drain or a cancellation that ends a dispatched operation, so
// that its outcome is never recorded.
TEST_F(OperationRunTest, DispatchedOperationContinues) {
  const size_t r = Run(Operation("k1"));
  const size_t cancelled = Run(Operation("k2"));
  tier->Cancel(handles[cancelled]);
  bool drained = false;
  tier->Drain([&] { drained = true; });
  timers.RunDue();
  EXPECT_TRUE(transport.Cancelled().empty());
  transport.Answer(transport.Sent()[1].id, 0, {"two"});
  EXPECT_EQ(Recorded("k2"), RunState::kRan);
  EXPECT_FALSE(drained);
  transport.Answer(transport.Sent()[0].id, 0, {"one"});
  EXPECT_EQ(AnswerOf(r).rows, std::vector<std::string>({"one"}));
  EXPECT_FALSE(replies[cancelled].has_value());
  EXPECT_TRUE(drained);
}

// Guards against a claim that stays held after its caller cancels.
TEST_F(OperationRunTest, CancelBeforeDispatchReleasesTheClaim) {
  const size_t claiming = Submit(Operation("k1"));
  tier->Cancel(handles[claiming]);
  servers.SetLimit(0);
  const size_t waiting = Run(Operation("k2"));
  tier->Cancel(handles[waiting]);
  timers.Advance(milliseconds(2000));
  EXPECT_EQ(Recorded("k1"), RunState::kNotRun);
  EXPECT_EQ(Recorded("k2"), RunState::kNotRun);
  EXPECT_TRUE(transport.Sent().empty());
  EXPECT_EQ(tier->in_flight(), 0U);
}

// Guards against an operation that waits for capacity beyond its deadline.
TEST_F(OperationRunTest, WaitsForCapacity) {
  servers.SetLimit(1);
  PublishSnapshot(MakeSnapshot(1, 1, 1));
  Run(Operation("k1"));
  const size_t second = Run(Operation("k2"));
  ASSERT_EQ(transport.Sent().size(), 1U);
  transport.Answer(transport.Sent()[0].id, 0, {"one"});
  ASSERT_EQ(transport.Sent().size(), 2U);
  const size_t third = Run(Operation("k3"));
  transport.Answer(transport.Sent()[1].id, 0, {"two"});
  EXPECT_EQ(AnswerOf(second).rows, std::vector<std::string>({"two"}));
  ASSERT_EQ(transport.Sent().size(), 3U);
  servers.SetLimit(0);
  const size_t fourth = Run(Operation("k4"));
  timers.Advance(milliseconds(1000));
  ExpectError(third, ErrorCode::kDeadlineExceeded, RunState::kUnknown);
  ExpectError(fourth, ErrorCode::kDeadlineTooShort, RunState::kNotRun);
  EXPECT_EQ(Recorded("k4"), RunState::kNotRun);
}

}  // namespace
}  // namespace wasabihook::testing
