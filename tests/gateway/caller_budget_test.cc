// Decisions on what callers hold together, and when an answer must leave.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <vector>

#include "gateway/answers/answer_margin.h"
#include "gateway/callers/caller_budget.h"
#include "gateway/gateway_settings.h"
#include "gateway/request_times.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kCrowd = 0x7f000003;
constexpr uint32_t kOrdinary = 0x7f000001;

class FakeMember : public CallerMember {
 public:
  FakeMember(CallerBudget* budget, SourceAddress source, TimePoint since)
      : m_budget(budget), m_source(source), m_since(since) {}
  ~FakeMember() override { m_budget->Remove(this); }

  SourceAddress source() const override { return m_source; }
  std::optional<TimePoint> waiting_since() const override {
    return m_serving ? std::nullopt : std::optional(m_since);
  }
  void GiveUp(bool close) override {
    given_up = true;
    if (close)
      m_budget->Remove(this);
    else
      m_budget->SetBytes(this, 0);
  }
  void Serve() { m_serving = true; }

  bool given_up = false;

 private:
  CallerBudget* const m_budget;
  const SourceAddress m_source;
  const TimePoint m_since;
  bool m_serving = false;
};

TimePoint At(int second) {
  return TimePoint{seconds(1000 + second)};
}

class CallerBudgetTest : public ::testing::Test {
 protected:
  FakeMember& Open(uint32_t source, int second = 0) {
    m_members.push_back(std::make_unique<FakeMember>(
        &m_budget, SourceAddress(source), At(second)));
    m_admitted = m_budget.Add(m_members.back().get());
    return *m_members.back();
  }

  CallerBudget m_budget{{.bytes = 1000, .connections = 4, .served_bytes = 500}};
  std::vector<std::unique_ptr<FakeMember>> m_members;
  bool m_admitted = false;
};

// Pattern: a crowd from one address that holds all memory. Guards against an
// ordinary caller that is given up for it.
TEST_F(CallerBudgetTest, GivesUpTheSourceThatHoldsMost) {
  FakeMember& ordinary = Open(kOrdinary);
  FakeMember& small = Open(kCrowd);
  FakeMember& large = Open(kCrowd);
  EXPECT_TRUE(m_budget.SetBytes(&ordinary, 400));
  EXPECT_TRUE(m_budget.SetBytes(&small, 250));
  EXPECT_FALSE(m_budget.SetBytes(&large, 500));
  EXPECT_FALSE(ordinary.given_up);
  EXPECT_FALSE(small.given_up);
  EXPECT_TRUE(large.given_up);
  EXPECT_EQ(m_budget.bytes(), 650U);
}

// Pattern: a crowd that only opens connections. Guards against a process
// without descriptors.
TEST_F(CallerBudgetTest, GivesUpTheConnectionThatWaitedLongest) {
  FakeMember& ordinary = Open(kOrdinary, 0);
  Open(kCrowd, 3);
  FakeMember& oldest = Open(kCrowd, 1);
  Open(kCrowd, 2);
  Open(kOrdinary, 4);
  EXPECT_TRUE(m_admitted);
  EXPECT_TRUE(oldest.given_up);
  EXPECT_FALSE(ordinary.given_up);
  EXPECT_EQ(m_budget.connections(), 4U);
}

// Guards against a request that is cut off while a server runs it.
TEST_F(CallerBudgetTest, NeverGivesUpWhatIsServed) {
  for (int i = 0; i < 4; ++i) {
    // Each from an address of its own.
    FakeMember& member = Open(kCrowd + static_cast<uint32_t>(i), i);
    EXPECT_TRUE(m_budget.BeginService(&member, 100));
    member.Serve();
  }
  Open(kOrdinary, 5);
  EXPECT_FALSE(m_admitted);
  for (const auto& member : m_members)
    EXPECT_FALSE(member->given_up);
}

// Pattern: a crowd whose whole requests wait for a server, on all connections.
// Guards against an ordinary caller that finds none.
TEST_F(CallerBudgetTest, TheBusiestSourceLeavesRoomForOthers) {
  for (int i = 0; i < 3; ++i) {
    FakeMember& member = Open(kCrowd, i);
    ASSERT_TRUE(m_budget.BeginService(&member, 10));
    member.Serve();
  }
  FakeMember& last = Open(kCrowd, 3);
  EXPECT_FALSE(m_budget.BeginService(&last, 10));
  FakeMember& ordinary = Open(kOrdinary, 4);
  EXPECT_TRUE(m_admitted);
  EXPECT_TRUE(last.given_up);
  EXPECT_TRUE(m_budget.BeginService(&ordinary, 10));
}

// Guards against served requests that take the memory in which others are read.
TEST_F(CallerBudgetTest, RejectsWhatIsBeyondTheServedShare) {
  FakeMember& first = Open(kCrowd);
  FakeMember& second = Open(kCrowd);
  EXPECT_TRUE(m_budget.BeginService(&first, 400));
  EXPECT_FALSE(m_budget.BeginService(&second, 200));
  m_budget.EndService(&first);
  EXPECT_TRUE(m_budget.BeginService(&second, 200));
}

// Guards against bounds that a caller within the limits of the smallest machine
// (160 MB, 4,100 descriptors) meets.
TEST(CallerBounds, LeaveRoomForOrdinaryCallers) {
  const CallerBounds bounds = ComputeCallerBounds(size_t{160} << 20, 4100);
  EXPECT_GE(bounds.bytes, size_t{100} * 262'144);
  EXPECT_GE(bounds.connections, 1000U);
  EXPECT_LE(bounds.connections, 2050U);
  EXPECT_GE(ComputeCallerBounds(size_t{32} << 20, 100).connections,
            kMinCallerConnections);
}

// --- Answers ---

// Pattern: callers 3 ms away with an objective of 50 ms. Guards against answers
// that leave at the last moment and arrive too late.
TEST(AnswerMargin, CoversTheRoundTripAndTheLateness) {
  AnswerMargin margin;
  const Duration objective = milliseconds(50);
  EXPECT_EQ(margin.For(std::nullopt, objective), kAnswerMargin);
  EXPECT_EQ(margin.For(milliseconds(1), objective), kAnswerMargin);
  EXPECT_GE(margin.For(milliseconds(6), objective), milliseconds(9));
  for (int i = 0; i < 100; ++i)
    margin.OnSent(milliseconds(6));
  EXPECT_GE(margin.lateness(), milliseconds(5));
  EXPECT_GE(margin.For(milliseconds(6), objective), milliseconds(14));
}

// Guards against a wrong measurement that leaves no time for the servers.
TEST(AnswerMargin, IsBounded) {
  AnswerMargin margin;
  for (int i = 0; i < 1000; ++i)
    margin.OnSent(seconds(5));
  EXPECT_LE(margin.lateness(), kMaxAnswerLateness);
  EXPECT_LE(margin.For(seconds(2), milliseconds(50)), milliseconds(18));
  for (int i = 0; i < 1000; ++i)
    margin.OnSent(Duration(0));
  EXPECT_LE(margin.lateness(), milliseconds(1));
}

// Guards against a handshake that is counted twice: in the rest of the budget
// that the caller states, and again for the first request of a connection.
TEST(RequestTimes, CountsAHandshakeOnce) {
  RequestTimesInput input;
  input.received_at = At(0);
  input.objective = milliseconds(50);
  input.max_caller_timeout = milliseconds(300);
  input.caller_timeout = milliseconds(294);
  input.first_on_connection = true;
  input.answer_margin = milliseconds(10);
  input.round_trip = milliseconds(6);
  EXPECT_EQ(ComputeRequestTimes(input).objective_at, At(0) + milliseconds(34));
  input.caller_timeout = milliseconds(300);
  EXPECT_EQ(ComputeRequestTimes(input).objective_at, At(0) + milliseconds(34));
}

}  // namespace
}  // namespace wasabihook::gateway
