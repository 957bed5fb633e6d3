// Tests of request times, merged answers and limits per instance.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "gateway/gateway_settings.h"
#include "gateway/merged_answer.h"
#include "gateway/request_times.h"
#include "gateway/service.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kReceived{seconds(1000)};

RequestTimesInput Input(Duration caller_timeout) {
  return {.received_at = kReceived,
          .objective = milliseconds(80),
          .timeout = milliseconds(600),
          .caller_timeout = caller_timeout,
          .max_caller_timeout = milliseconds(800),
          .first_on_connection = false};
}

// Guards against answers after the caller's deadline.
TEST(RequestTimes, DeadlineIsTheShorterOfRouteAndCallerTimeout) {
  EXPECT_EQ(ComputeRequestTimes(Input(milliseconds(800))).deadline,
            kReceived + milliseconds(600));
  EXPECT_LT(ComputeRequestTimes(Input(milliseconds(300))).deadline,
            kReceived + milliseconds(300));
  EXPECT_EQ(ComputeRequestTimes(Input(milliseconds(0))).deadline, kReceived);
}

// Guards against answers that miss the caller's objective because the time
// since its first attempt is not counted.
TEST(RequestTimes, ObjectiveCountsFromTheFirstAttempt) {
  const TimePoint fresh =
      ComputeRequestTimes(Input(milliseconds(800))).objective_at;
  EXPECT_EQ(ComputeRequestTimes(Input(milliseconds(770))).objective_at,
            fresh - milliseconds(30));
}

// Guards against answers with only the minimum share of shards for callers that
// retry after a rejection: their first objective has passed already.
TEST(RequestTimes, MissedObjectiveRestartsAtTheArrival) {
  EXPECT_EQ(ComputeRequestTimes(Input(milliseconds(600))).objective_at,
            ComputeRequestTimes(Input(milliseconds(800))).objective_at);
}

TEST(RequestTimes, WaitForCapacityEndsWithinAQuarterOfTheObjective) {
  EXPECT_LE(ComputeRequestTimes(Input(milliseconds(800))).queue_deadline,
            kReceived + milliseconds(20));
}

HeaderNames Names() {
  HeaderNames out;
  out.request_id = "Id";
  out.part_proofs = "Proofs";
  out.missing_parts = "Missing";
  return out;
}

PartReply Reply(const std::string& service,
                const std::string& proof,
                char letter) {
  return {.service = ServiceName(service),
          .proof = proof,
          .body = std::string(16, letter)};
}

TEST(MergedAnswer, StatesProofsAndMissingShards) {
  const MergedAnswer answer = MergeReplies(
      {Reply("s1", "p1", 'a'), Reply("s2", "p2", 'b')}, 3, "r1", 1, Names());
  EXPECT_EQ(answer.merged, 2U);
  EXPECT_EQ(answer.response.body, std::string(16, 'b'));
  EXPECT_NE(answer.response.header_lines.find("Proofs: p1, p2\r\n"),
            std::string::npos);
  EXPECT_NE(answer.response.header_lines.find("Missing: 1\r\n"),
            std::string::npos);
}

// Guards against an answer that is invalid because it contains a proof twice.
TEST(MergedAnswer, LeavesOutARepeatedProof) {
  const MergedAnswer answer = MergeReplies(
      {Reply("s1", "p1", 'a'), Reply("s2", "p1", 'b')}, 2, "r1", 9, Names());
  ASSERT_EQ(answer.duplicates.size(), 1U);
  EXPECT_EQ(answer.duplicates[0], ServiceName("s2"));
  EXPECT_EQ(answer.response.body, std::string(16, 'a'));
  EXPECT_NE(answer.response.header_lines.find("Missing: 1\r\n"),
            std::string::npos);
}

// Guards against queues at the servers of an overloaded service, and against an
// instance that gets no share.
TEST(OverloadConcurrencyLimit, AddsUpToTheTotalOverAllInstances) {
  constexpr uint32_t kSlots = 2;
  constexpr uint32_t kInstances = 8;
  uint32_t total = 0;
  for (uint32_t i = 0; i < kInstances; ++i)
    total += OverloadConcurrencyLimit(kSlots, kInstances, i / 8.0);
  EXPECT_EQ(total, static_cast<uint32_t>(kOverloadConcurrencyFactor * kSlots));
  EXPECT_EQ(OverloadConcurrencyLimit(kSlots, 60, 0.9), 1U);
}

}  // namespace
}  // namespace wasabihook::gateway
