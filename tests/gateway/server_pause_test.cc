// Pattern: a server that turns a request away and says for how long it wants no
// more of this instance.

#include "gateway/server_pause.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

TEST(ParsePause, ReadsSecondsWithFractions) {
  EXPECT_EQ(ParsePause({"2"}), Duration(seconds(2)));
  EXPECT_EQ(ParsePause({"0.3"}), Duration(milliseconds(300)));
  EXPECT_EQ(ParsePause({"5e-1"}), Duration(milliseconds(500)));
}

// Guards against a value that crashes the gateway or sets a pause by mistake.
TEST(ParsePause, IgnoresWhatIsNoPositiveNumber) {
  for (const char* value :
       {"", " ", "0", "0.0", "-1", "-1e400", "1e-400", "nan", "soon", "1s",
        "1,5", "+1", "0x10", "2 3", "Wed, 21 Oct 2026 07:28:00 GMT"})
    EXPECT_FALSE(ParsePause({value}).has_value()) << value;
  EXPECT_FALSE(ParsePause({}).has_value());
}

// Guards against a server that takes itself out for hours.
TEST(ParsePause, IsBounded) {
  for (const char* value : {"61", "86400", "1e300", "1e400", "inf"})
    EXPECT_EQ(ParsePause({value}), kMaxServerPause) << value;
}

TEST(ParsePause, TheLongestOfSeveralFieldsCounts) {
  EXPECT_EQ(ParsePause({"1", "3", "x"}), Duration(seconds(3)));
}

// Guards against the whole load at once at a server that has just recovered.
TEST(ShareAfterPause, GrowsToTheWhole) {
  const TimePoint end = At(seconds(5));
  EXPECT_DOUBLE_EQ(ShareAfterPause(end, end), kFirstShareAfterPause);
  EXPECT_LT(ShareAfterPause(end, end + kPauseRecovery / 2), 1);
  EXPECT_DOUBLE_EQ(ShareAfterPause(end, end + kPauseRecovery), 1);
  EXPECT_DOUBLE_EQ(ShareAfterPause(end, end + seconds(60)), 1);
}

TEST(TimeUntilServable, IsTheEndOfThePauseThatIsNeeded) {
  const std::vector<TimePoint> ends = {At(seconds(4)), At(seconds(2)),
                                       At(seconds(9))};
  const TimePoint now = At(seconds(1));
  EXPECT_EQ(TimeUntilServable(ends, 1, now), Duration(seconds(1)));
  EXPECT_EQ(TimeUntilServable(ends, 3, now), Duration(seconds(8)));
  EXPECT_EQ(TimeUntilServable(ends, 1, At(seconds(3))), Duration(0));
  // Another part is missing for another reason.
  EXPECT_FALSE(TimeUntilServable(ends, 4, now).has_value());
  EXPECT_FALSE(TimeUntilServable(ends, 0, now).has_value());
}

class PausedServerTest : public GatewayTest {
 protected:
  static constexpr Duration kPause = milliseconds(1500);

  void Wait(Duration time) {
    RunUntil(
        m_loop, [] { return false; }, time);
  }

  // The server turns one request away and names the pause; it would answer
  // further ones.
  void Pause(const std::string& server, const std::string& line) {
    Server(server).SetPause("1.5");
    const uint32_t before = Server(server).received_requests();
    for (int i = 0; Server(server).received_requests() == before && i < 100;
         ++i)
      EXPECT_EQ(SendRequest(line).status, 200);
    ASSERT_EQ(Server(server).received_requests(), before + 1);
    Server(server).SetPause("");
  }

  static double RetryAfter(const testing::CallerReply& reply) {
    const auto found = reply.headers.find("retry-after");
    return found == reply.headers.end() ? -1 : std::atof(found->second.c_str());
  }
};

// Guards against first attempts and retries to a server within its pause, and
// against a server that is not used again after it.
TEST_F(PausedServerTest, GetsNothingUntilTheEnd) {
  Start();
  Pause("w1", "POST /write/a");
  const TimePoint end = m_loop.Now() + kPause;
  const uint32_t before = Server("w1").received_requests();
  // The other one turns requests away as well, so that they are retried.
  Server("w2").SetFault(ServerFault::kRefuse);
  for (int i = 0; i < 6; ++i)
    SendRequest("POST /write/a");
  Server("w2").SetFault(ServerFault::kNone);
  while (m_loop.Now() + milliseconds(100) < end)
    EXPECT_EQ(SendRequest("POST /write/a").status, 200);
  EXPECT_EQ(Server("w1").received_requests(), before);
  Wait(milliseconds(300));
  Server("w2").SetFault(ServerFault::kRefuse);
  EXPECT_EQ(SendRequest("POST /write/a").status, 200);
  EXPECT_EQ(Server("w1").received_requests(), before + 1);
}

// Guards against a hedge to a server within its pause.
TEST_F(PausedServerTest, GetsNoHedges) {
  Start();
  Pause("s0x", "GET /search/q");
  const uint32_t before = Server("s0x").received_requests();
  Server("s0y").SetDelay(milliseconds(110));
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(SendRequest("GET /search/q").status, 200);
  EXPECT_EQ(Server("s0x").received_requests(), before);
}

// Guards against requests that are sent, or wait, although no server takes
// them, and against callers that come back too early.
TEST_F(PausedServerTest, RejectsAtOnceIfAllServersPause) {
  Start();
  Server("w1").SetPause("2");
  Server("w2").SetPause("2");
  EXPECT_EQ(SendRequest("POST /write/a").status, 503);
  Server("w1").SetPause("");
  Server("w2").SetPause("");
  const uint32_t before =
      Server("w1").received_requests() + Server("w2").received_requests();
  const TimePoint sent_at = m_loop.Now();
  const testing::CallerReply reply = SendRequest("POST /write/a");
  EXPECT_EQ(reply.status, 503);
  EXPECT_LT(m_loop.Now() - sent_at, milliseconds(50));
  EXPECT_GE(RetryAfter(reply), 1.8);
  EXPECT_LE(RetryAfter(reply), 2.7);
  EXPECT_EQ(Server("w1").received_requests() + Server("w2").received_requests(),
            before);
}

// Guards against a query that is rejected, or waits, for one shard that it can
// be answered without.
TEST_F(PausedServerTest, QueryIsAnsweredWithoutThePausedShard) {
  Start();
  Server("s0x").SetPause("3");
  Server("s0y").SetPause("3");
  SendRequest("GET /search/q");
  Wait(milliseconds(300));
  const uint32_t before =
      Server("s0x").received_requests() + Server("s0y").received_requests();
  const testing::CallerReply reply = SendRequest("GET /search/q");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "1");
  EXPECT_EQ(
      Server("s0x").received_requests() + Server("s0y").received_requests(),
      before);
}

// Guards against a pause that outlasts the start of the server that asked.
TEST_F(PausedServerTest, EndsWithTheStartOfTheServer) {
  Start();
  Pause("w1", "POST /write/a");
  Server("w1").Crash();
  Wait(milliseconds(50));
  Server("w1").Restart();
  m_store.Put("servers/w1", Server("w1").Entry("writes"));
  Wait(milliseconds(800));
  const uint32_t before = Server("w1").received_requests();
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(SendRequest("POST /write/a").status, 200);
  EXPECT_GT(Server("w1").received_requests(), before);
}

// Guards against bad values that crash the gateway or pause a server.
TEST_F(PausedServerTest, BadValuesPauseNobody) {
  for (const char* value :
       {"0", "-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1e-400", "nan"}) {
    // A new instance, so that it does not take the service for overloaded.
    m_gateway.reset();
    Start();
    // Each request is sent to both servers.
    Server("w1").SetPause(value);
    Server("w2").SetPause(value);
    const uint32_t before = Server("w1").received_requests();
    for (int i = 0; i < 3; ++i)
      EXPECT_EQ(SendRequest("POST /write/a").status, 503) << value;
    EXPECT_EQ(Server("w1").received_requests(), before + 3) << value;
  }
}

}  // namespace
}  // namespace wasabihook::gateway
