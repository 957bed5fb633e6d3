#include "query_tier_fixture.h"

namespace wasabihook::testing {
namespace {

using QueryTierTest = QueryTierFixture;

// Guards against rows that are not in group order and wrong coverage counts.
TEST_F(QueryTierTest, MergesInGroupOrder) {
  const size_t r = Submit(Search());
  ASSERT_EQ(transport.Outstanding().size(), 3U);
  AnswerGroup("g2");
  AnswerGroup("g0");
  EXPECT_FALSE(replies[r].has_value());
  AnswerGroup("g1");
  const Answer& answer = AnswerOf(r);
  EXPECT_EQ(answer.rows,
            std::vector<std::string>({"row-g0", "row-g1", "row-g2"}));
  EXPECT_TRUE(answer.coverage.complete());
  EXPECT_EQ(answer.coverage.records_covered, 30U);
  EXPECT_EQ(answer.snapshot.index_version, IndexVersion(1));
  EXPECT_EQ(tier->in_flight(), 0U);
  EXPECT_EQ(servers.total_outstanding(), 0U);
  EXPECT_EQ(admission.running(), 0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_TRUE(outcomes[0].complete);
}

// Guards against a missing hedge, a slower attempt that is not cancelled, and a
// late reply that is counted as a second one.
TEST_F(QueryTierTest, HedgesOnceAndDropsTheSlowerReply) {
  const size_t r = Submit(Search());
  AnswerGroup("g0");
  AnswerGroup("g1");
  timers.Advance(milliseconds(50));
  ASSERT_EQ(transport.Sent().size(), 4U);
  const SubRequest slow = transport.Sent()[2];
  const SubRequest hedge = transport.Sent()[3];
  EXPECT_EQ(hedge.group, slow.group);
  EXPECT_NE(hedge.server, slow.server);
  EXPECT_EQ(budget.tokens(), 9U);
  transport.Answer(hedge.id, kRecordsPerGroup, {"hedged"});
  EXPECT_EQ(AnswerOf(r).coverage.records_covered, 30U);
  EXPECT_EQ(transport.Cancelled(), std::vector<SubRequestId>({slow.id}));
  transport.Answer(slow.id, kRecordsPerGroup, {"late"});
  EXPECT_EQ(tier->dropped_replies().late, 1U);
  EXPECT_EQ(servers.total_outstanding(), 0U);
}

// Guards against hedges and retries that exceed the shared retry budget.
TEST_F(QueryTierTest, NoTokenMeansNoHedgeAndNoRetry) {
  budget.SetTokens(0);
  const size_t r = Submit(Search());
  AnswerGroup("g0");
  AnswerGroup("g1");
  transport.Fail(transport.Outstanding()[0].id, SubOutcome::kServerError);
  timers.Advance(milliseconds(90));
  EXPECT_FALSE(replies[r].has_value());
  timers.Advance(milliseconds(20));
  EXPECT_EQ(transport.Sent().size(), 3U);
  EXPECT_EQ(AnswerOf(r).coverage.missing_groups,
            std::vector<ShardGroupId>({ShardGroupId("g2")}));
}

// Guards against a refused sub-request that is not retried, or is retried on
// the same server.
TEST_F(QueryTierTest, RetriesOnAnotherReplica) {
  const size_t r = Submit(Search());
  transport.Fail(transport.Outstanding()[1].id, SubOutcome::kOverloaded);
  timers.Advance(milliseconds(5));
  ASSERT_EQ(transport.Sent().size(), 4U);
  EXPECT_EQ(transport.Sent()[3].server, ServerId("g1b"));
  AnswerAll();
  EXPECT_TRUE(AnswerOf(r).coverage.complete());
}

// Guards against a group that is missing from the answer because each of its
// servers refused once with a Retry-After of 1 s, its smallest value.
TEST_F(QueryTierTest, RetryAfterOfOneSecondDoesNotBlockTheGroup) {
  const size_t r = Submit(Search());
  AnswerGroup("g0");
  AnswerGroup("g2");
  for (int refused = 0; refused < 2; ++refused) {
    ASSERT_EQ(transport.Outstanding().size(), 1U);
    SubReply refusal;
    refusal.id = transport.Outstanding()[0].id;
    refusal.outcome = SubOutcome::kOverloaded;
    refusal.retry_after = std::chrono::seconds(1);
    transport.Deliver(refusal.id, refusal);
    timers.Advance(config::kMaxOverloadBackoff);
  }
  AnswerAll();
  EXPECT_TRUE(AnswerOf(r).coverage.complete());
}

// Guards against an early answer that does not report its missing groups.
TEST_F(QueryTierTest, EarlyPolicyAnswersAtSoftDeadline) {
  settings.coverage_policy = CoveragePolicy::kEarly;
  PublishSnapshot(MakeSnapshot(1, 3));
  const size_t r = Submit(Search());
  AnswerGroup("g0");
  AnswerGroup("g2");
  timers.Advance(milliseconds(199));
  EXPECT_FALSE(replies[r].has_value());
  timers.Advance(milliseconds(1));
  const Coverage& coverage = AnswerOf(r).coverage;
  EXPECT_EQ(coverage.groups_covered, 2U);
  EXPECT_EQ(coverage.records_covered, 20U);
  EXPECT_EQ(coverage.records_asked, 30U);
  EXPECT_EQ(coverage.missing_groups,
            std::vector<ShardGroupId>({ShardGroupId("g1")}));
}

// Guards against a reply after the deadline and against a wrong run state.
TEST_F(QueryTierTest, TooLittleCoverageIsAnErrorAtTheDeadline) {
  const size_t none = Submit(Search());
  const size_t some = Submit(Search());
  transport.Answer(transport.Sent()[3].id, kRecordsPerGroup, {});
  timers.Advance(milliseconds(1000));
  ExpectError(none, ErrorCode::kDeadlineExceeded, RunState::kUnknown);
  ExpectError(some, ErrorCode::kDeadlineExceeded, RunState::kRan);
}

// Guards against "not_run" although an attempt may have run: it requires that
// every attempt was refused.
TEST_F(QueryTierTest, NotRunOnlyIfEveryAttemptWasRefused) {
  settings.max_attempts = 1;
  PublishSnapshot(MakeSnapshot(1, 2));
  const size_t refused = Submit(Search());
  for (const SubRequest& sub : transport.Outstanding()) {
    transport.Fail(sub.id, SubOutcome::kOverloaded);
  }
  ExpectError(refused, ErrorCode::kOverloaded, RunState::kNotRun);
  const size_t lost = Submit(Search("other"));
  const auto subs = transport.Outstanding();
  transport.Fail(subs[0].id, SubOutcome::kOverloaded);
  transport.Fail(subs[1].id, SubOutcome::kTimedOut);
  ExpectError(lost, ErrorCode::kBackendFailed, RunState::kUnknown);
}

// Guards against counting a truncated reply or a reply from another snapshot.
TEST_F(QueryTierTest, RepliesThatDoNotMatchThePinnedGroupDoNotCount) {
  settings.max_attempts = 1;
  settings.least_coverage = Fraction{0.3};
  PublishSnapshot(MakeSnapshot(1, 3));
  const size_t r = Submit(Search());
  const auto subs = transport.Outstanding();
  transport.Answer(subs[0].id, kRecordsPerGroup - 1, {"truncated"});
  SubReply other;
  other.id = subs[1].id;
  other.outcome = SubOutcome::kOk;
  other.snapshot = {IndexVersion(2), MapVersion(1)};
  other.records_searched = kRecordsPerGroup;
  other.rows = {"other snapshot"};
  transport.Deliver(subs[1].id, other);
  transport.Answer(subs[2].id, kRecordsPerGroup, {"good"});
  EXPECT_EQ(AnswerOf(r).rows, std::vector<std::string>({"good"}));
  EXPECT_EQ(AnswerOf(r).coverage.records_covered, kRecordsPerGroup);
  EXPECT_EQ(tier->dropped_replies().invalid, 2U);
}

// Guards against delivering the rows of another caller's request.
TEST_F(QueryTierTest, SwappedAndDuplicateRepliesAreDropped) {
  PublishSnapshot(MakeSnapshot(1, 1));
  const size_t first = Submit(Search("a"));
  const size_t second = Submit(Search("b"));
  const auto subs = transport.Outstanding();
  SubReply swapped;
  swapped.id = subs[1].id;
  swapped.outcome = SubOutcome::kOk;
  swapped.snapshot = subs[1].snapshot;
  swapped.records_searched = kRecordsPerGroup;
  swapped.rows = {"b"};
  transport.Deliver(subs[0].id, swapped);
  EXPECT_FALSE(replies[first].has_value());
  transport.Answer(subs[1].id, kRecordsPerGroup, {"b"});
  transport.Answer(subs[1].id, kRecordsPerGroup, {"b again"});
  EXPECT_EQ(AnswerOf(second).rows, std::vector<std::string>({"b"}));
  timers.Advance(milliseconds(10));
  transport.Answer(transport.Sent().back().id, kRecordsPerGroup, {"a"});
  EXPECT_EQ(AnswerOf(first).rows, std::vector<std::string>({"a"}));
  EXPECT_EQ(tier->dropped_replies().foreign, 1U);
  EXPECT_EQ(tier->dropped_replies().duplicate, 1U);
}

// Guards against an answer merged from two snapshots when the index version
// changes during a query.
TEST_F(QueryTierTest, RestartsAllPartsOnTheNewerSnapshot) {
  const size_t r = Submit(Search());
  AnswerGroup("g0");
  AnswerGroup("g1");
  for (int replica = 0; replica < 2; ++replica) {
    transport.Fail(transport.Outstanding()[0].id,
                   SubOutcome::kSnapshotNotServed);
  }
  EXPECT_EQ(budget.tokens(), 10U);
  timers.Advance(milliseconds(20));
  EXPECT_EQ(transport.Sent().size(), 4U);
  PublishSnapshot(MakeSnapshot(2, 2));
  timers.Advance(milliseconds(5));
  ASSERT_EQ(transport.Outstanding().size(), 2U);
  AnswerAll();
  EXPECT_EQ(AnswerOf(r).snapshot.index_version, IndexVersion(2));
  EXPECT_EQ(AnswerOf(r).rows, std::vector<std::string>({"row-g0", "row-g1"}));
  EXPECT_EQ(AnswerOf(r).coverage.records_asked, 20U);
}

// Guards against unlimited restarts, and against waiting until the deadline for
// settings that never arrive.
TEST_F(QueryTierTest, GivesUpOnASnapshotThatNoReplicaServes) {
  transport.SetOnSend([&](const SubRequest& sub) {
    timers.SubscribeOnce(milliseconds(1), [this, id = sub.id] {
      transport.Fail(id, SubOutcome::kSnapshotNotServed);
    });
  });
  const size_t r = Submit(Search());
  for (uint64_t version = 2; version < 6; ++version) {
    PublishSnapshot(MakeSnapshot(version, 1));
    timers.Advance(milliseconds(20));
  }
  ExpectError(r, ErrorCode::kSnapshotUnavailable, RunState::kNotRun);
  const size_t stale = Submit(Search());
  timers.Advance(milliseconds(300));
  ExpectError(stale, ErrorCode::kSnapshotUnavailable, RunState::kNotRun);
}

// Guards against a fetch that is sent to the wrong group or to several groups.
TEST_F(QueryTierTest, FetchIsSentToTheGroupOfItsKey) {
  CallerRequest request = Search();
  request.kind = RequestKind::kFetch;
  request.record_key = "record-9";
  const size_t r = Submit(request);
  ASSERT_EQ(transport.Sent().size(), 1U);
  const SnapshotPtr snapshot = settings.index_sets[kIndexSet];
  EXPECT_EQ(transport.Sent()[0].group,
            snapshot->groups[snapshot->GroupIndexFor("record-9")].id);
  timers.Advance(milliseconds(50));
  ASSERT_EQ(transport.Sent().size(), 2U);
  transport.Answer(transport.Sent()[1].id, 1, {"record"});
  EXPECT_EQ(AnswerOf(r).rows, std::vector<std::string>({"record"}));
}

// Guards against a sub-query that fails, or waits for its timer, although a
// server has free capacity again.
TEST_F(QueryTierTest, WaitsForCapacity) {
  servers.SetLimit(1);
  PublishSnapshot(MakeSnapshot(1, 1, 1));
  const size_t first = Submit(Search("a"));
  const size_t second = Submit(Search("b"));
  ASSERT_EQ(transport.Sent().size(), 1U);
  AnswerAll();
  EXPECT_TRUE(AnswerOf(first).coverage.complete());
  ASSERT_EQ(transport.Sent().size(), 2U);
  const size_t third = Submit(Search("c"));
  timers.Advance(milliseconds(999));
  AnswerAll();
  EXPECT_TRUE(AnswerOf(second).coverage.complete());
  EXPECT_EQ(transport.Sent().size(), 3U);
  timers.Advance(milliseconds(1));
  ExpectError(third, ErrorCode::kDeadlineExceeded, RunState::kUnknown);
  const size_t fourth = Submit(Search("d"));
  servers.SetLimit(0);
  const size_t fifth = Submit(Search("e"));
  timers.Advance(milliseconds(1000));
  ExpectError(fourth, ErrorCode::kDeadlineExceeded, RunState::kUnknown);
  ExpectError(fifth, ErrorCode::kDeadlineExceeded, RunState::kNotRun);
}

// Guards against a reply within Submit(), which would deadlock callers that
// hold a lock, and against an admission that is not released.
TEST_F(QueryTierTest, AdmissionRefusesAndReleases) {
  CallerRequest unknown = Search();
  unknown.team = TeamId("nobody");
  const size_t bad = Submit(unknown);
  EXPECT_FALSE(replies[bad].has_value());
  timers.RunDue();
  ExpectError(bad, ErrorCode::kUnknownTeam, RunState::kNotRun);
  admission.SetHoldRequests(true);
  const size_t full = Submit(Search());
  admission.CompleteHeldRequests(AdmissionResult::kQueueFull);
  ExpectError(full, ErrorCode::kOverloaded, RunState::kNotRun);
  const size_t queued = Submit(Search());
  timers.Advance(milliseconds(1000));
  ExpectError(queued, ErrorCode::kDeadlineExceeded, RunState::kNotRun);
  admission.CompleteHeldRequests(AdmissionResult::kAdmitted);
  EXPECT_EQ(admission.running(), 0);
  EXPECT_TRUE(transport.Sent().empty());
}

// Guards against a fan-out before the canary sub-request was answered.
TEST_F(QueryTierTest, CanaryIsSentBeforeFanOut) {
  settings.canary = true;
  PublishSnapshot(MakeSnapshot(1, 3));
  const size_t good = Submit(Search("good"));
  ASSERT_EQ(transport.Sent().size(), 1U);
  AnswerAll();
  EXPECT_EQ(transport.Sent().size(), 3U);
  AnswerAll();
  EXPECT_TRUE(AnswerOf(good).coverage.complete());
  const size_t bad = Submit(Search("bad"));
  ASSERT_EQ(transport.Sent().size(), 4U);
  transport.Fail(transport.Sent()[3].id, SubOutcome::kConnectionLost);
  ExpectError(bad, ErrorCode::kBackendFailed, RunState::kUnknown);
  EXPECT_EQ(transport.Sent().size(), 4U);
}

// Guards against a suspect body that is hedged, retried, or sent to the last
// live server of a group.
TEST_F(QueryTierTest, SuspectIsNotSentToLastLiveServers) {
  const size_t first = Submit(Search("crashing"));
  const size_t harmless = Submit(Search("harmless"));
  transport.Fail(transport.Sent()[0].id, SubOutcome::kConnectionLost);
  timers.Advance(milliseconds(400));
  // Both bodies are suspect, because both were in flight on the crashed server.
  EXPECT_EQ(transport.Sent().size(), 6U);
  transport.Fail(transport.Sent()[1].id, SubOutcome::kServerError);
  transport.Fail(transport.Sent()[2].id, SubOutcome::kServerError);
  timers.Advance(config::kSuspectRecheckDelay);
  ExpectError(first, ErrorCode::kBackendFailed, RunState::kUnknown);
  EXPECT_EQ(transport.Sent().size(), 6U);
  AnswerAll();
  EXPECT_TRUE(AnswerOf(harmless).coverage.complete());
  servers.Eject(ServerId("g0a"));
  const size_t again = Submit(Search("crashing"));
  ASSERT_EQ(transport.Sent().size(), 7U);
  EXPECT_EQ(transport.Sent()[6].group, ShardGroupId("g1"));
  transport.Fail(transport.Sent()[6].id, SubOutcome::kConnectionLost);
  ExpectError(again, ErrorCode::kBackendFailed, RunState::kUnknown);
  EXPECT_EQ(transport.Sent().size(), 7U);
  const size_t refused = Submit(Search("crashing"));
  timers.RunDue();
  ExpectError(refused, ErrorCode::kQuarantined, RunState::kNotRun);
}

// Guards against a group that is missing from the answers to all requests that
// were in flight on a crashed server, although other groups answered them.
TEST_F(QueryTierTest, RetriesAfterACrashOnceOtherGroupsAnswered) {
  const size_t r = Submit(Search());
  transport.Fail(transport.Sent()[0].id, SubOutcome::kConnectionLost);
  timers.Advance(milliseconds(20));
  EXPECT_EQ(transport.Sent().size(), 3U);
  AnswerGroup("g1");
  timers.Advance(milliseconds(20));
  EXPECT_EQ(transport.Sent().size(), 3U);
  AnswerGroup("g2");
  timers.Advance(milliseconds(20));
  ASSERT_EQ(transport.Sent().size(), 4U);
  EXPECT_EQ(transport.Sent()[3].group, transport.Sent()[0].group);
  EXPECT_NE(transport.Sent()[3].server, transport.Sent()[0].server);
  AnswerAll();
  EXPECT_TRUE(AnswerOf(r).coverage.complete());
}

// Guards against a drain that aborts a request in flight or never completes.
TEST_F(QueryTierTest, DrainWaitsForRequestsInFlight) {
  const size_t r = Submit(Search());
  int drained = 0;
  tier->Drain([&] { ++drained; });
  const size_t refused = Submit(Search());
  timers.RunDue();
  ExpectError(refused, ErrorCode::kShuttingDown, RunState::kNotRun);
  EXPECT_EQ(drained, 0);
  AnswerAll();
  EXPECT_TRUE(AnswerOf(r).coverage.complete());
  EXPECT_EQ(drained, 1);
  timers.Advance(milliseconds(2000));
  EXPECT_EQ(drained, 1);
}

// Guards against continued work for a cancelled request, and a reply to it.
TEST_F(QueryTierTest, CancelEndsOutstandingWork) {
  const size_t r = Submit(Search());
  tier->Cancel(handles[r]);
  EXPECT_EQ(transport.Cancelled().size(), 3U);
  timers.Advance(milliseconds(2000));
  EXPECT_FALSE(replies[r].has_value());
  EXPECT_EQ(tier->in_flight(), 0U);
  EXPECT_EQ(servers.total_outstanding(), 0U);
  EXPECT_EQ(admission.running(), 0);
  EXPECT_FALSE(timers.NextDue().has_value());
}

// Guards against callbacks that access a destroyed query tier.
TEST_F(QueryTierTest, LateCallbacksAfterDestructionAreHarmless) {
  Submit(Search());
  Submit(Operation("k1"));
  const auto subs = transport.Outstanding();
  tier.reset();
  transport.Answer(subs[0].id, kRecordsPerGroup, {});
  timers.Advance(milliseconds(2000));
  EXPECT_TRUE(outcomes.empty());
}

}  // namespace
}  // namespace wasabihook::testing
