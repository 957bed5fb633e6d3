// Pattern: a server that says in its answers that it leaves, while the registry
// does not, lags or is away.

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "gateway/leaving_servers.h"
#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

const ServerKey kServer(7);

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

TEST(LeavingServers, HoldsForThatStartOnly) {
  LeavingServers servers;
  EXPECT_TRUE(
      servers.Add({.server = kServer, .at = At(seconds(1))}, At(seconds(1))));
  EXPECT_FALSE(
      servers.Add({.server = kServer, .at = At(seconds(3))}, At(seconds(3))));
  EXPECT_EQ(servers.Since(kServer), At(seconds(1)));
  EXPECT_FALSE(servers.Since(ServerKey(8)).has_value());
}

// Guards against a statement that another instance heard earlier and that
// would give the server more time here.
TEST(LeavingServers, TheEarliestStatementCounts) {
  LeavingServers servers;
  servers.Add({.server = kServer, .at = At(seconds(3))}, At(seconds(3)));
  EXPECT_EQ(servers.Merge({{.server = kServer, .at = At(seconds(1))},
                           {.server = ServerKey(8), .at = At(seconds(2))}},
                          At(seconds(4))),
            1U);
  EXPECT_EQ(servers.Since(kServer), At(seconds(1)));
  EXPECT_EQ(servers.NewsSince(At(seconds(3))).size(), 1U);
  EXPECT_EQ(servers.NewsSince(TimePoint()).size(), 2U);
}

TEST(LeavingServers, MemoryIsBounded) {
  LeavingServers servers;
  for (uint32_t i = 0; i < kMaxLeavingServers + 5; ++i)
    servers.Add({.server = ServerKey(i), .at = At(seconds(1))}, At(seconds(1)));
  EXPECT_EQ(servers.size(), kMaxLeavingServers);
  servers.Sweep(At(seconds(2)) + kLeavingServerMemory);
  EXPECT_EQ(servers.size(), 0U);
}

class LeavingServerTest : public GatewayTest {
 protected:
  void Wait(Duration time) {
    RunUntil(
        m_loop, [] { return false; }, time);
  }

  // Requests that `server` gets while twelve are sent to its service.
  uint32_t ArrivalsOfTwelve(const std::string& server) {
    const uint32_t before = Server(server).received_requests();
    for (int i = 0; i < 12; ++i)
      EXPECT_EQ(SendRequest("POST /write/a", "p").status, 200);
    return Server(server).received_requests() - before;
  }

  // The server says that it leaves, in the answer to one request at least.
  void LetLeave(const std::string& server) {
    Server(server).SetLeaving(true);
    const uint32_t before = Server(server).received_requests();
    for (int i = 0; Server(server).received_requests() == before && i < 100;
         ++i)
      SendRequest("POST /write/a", "p");
    ASSERT_GT(Server(server).received_requests(), before);
  }
};

// Guards against new work for a leaving server of which the registry can't
// tell.
TEST_F(LeavingServerTest, GetsNoNewWorkWhileTheStoreIsAway) {
  Start();
  m_store.SetRefusing(true);
  LetLeave("w1");
  EXPECT_EQ(ArrivalsOfTwelve("w1"), 0U);
}

// Guards against an answer that nobody waits for any more, and that says it.
TEST_F(LeavingServerTest, IsHeardOnTheAnswerToAHedgeThatLost) {
  Start();
  Server("s0x").SetDelay(milliseconds(70));
  Server("s0y").SetDelay(milliseconds(150));
  Server("s0y").SetLeaving(true);
  EXPECT_EQ(SendRequest("GET /search/q").status, 200);
  ASSERT_EQ(Server("s0y").received_requests(), 1U);
  Wait(milliseconds(250));
  Server("s0x").SetDelay(milliseconds(0));
  Server("s0y").SetDelay(milliseconds(0));
  for (int i = 0; i < 12; ++i)
    EXPECT_EQ(SendRequest("GET /search/q").status, 200);
  EXPECT_EQ(Server("s0y").received_requests(), 1U);
}

// Guards against a registry that lags or came back from an older copy, and a
// later answer without the field.
TEST_F(LeavingServerTest, NeitherRegistryNorLaterAnswersTakeItBack) {
  Start();
  LetLeave("w1");
  Server("w1").SetLeaving(false);
  json entry = json::parse(Server("w1").Entry("writes"));
  entry["seq"] = 2;
  m_store.Put("servers/w1", entry.dump());
  Wait(milliseconds(800));
  EXPECT_EQ(ArrivalsOfTwelve("w1"), 0U);
}

// Guards against a server that is never used again after it was replaced.
TEST_F(LeavingServerTest, AnotherStartIsUsed) {
  Start();
  LetLeave("w1");
  Server("w1").Crash();
  Wait(milliseconds(50));
  Server("w1").SetLeaving(false);
  Server("w1").Restart();
  m_store.Put("servers/w1", Server("w1").Entry("writes"));
  Wait(milliseconds(1200));
  EXPECT_GT(ArrivalsOfTwelve("w1"), 0U);
}

// Guards against a service that serves nobody from the moment at which its last
// servers say that they leave.
TEST_F(LeavingServerTest, IsUsedForAShortTimeIfAllLeave) {
  Start();
  Server("w1").SetLeaving(true);
  Server("w2").SetLeaving(true);
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(SendRequest("POST /write/a", "p").status, 200);
  Wait(kDrainingFallbackPeriod + milliseconds(100));
  EXPECT_EQ(SendRequest("POST /write/a", "p").status, 503);
}

// Guards against each instance that has to hear it for itself.
TEST_F(LeavingServerTest, OtherInstancesAreTold) {
  Start();
  m_settings.instance = InstanceId("gateway-2");
  std::unique_ptr<Gateway> first = std::move(m_gateway);
  Start();
  Wait(seconds(1));
  LetLeave("w1");
  Wait(seconds(2));
  std::swap(m_gateway, first);
  EXPECT_EQ(ArrivalsOfTwelve("w1"), 0U);
}

}  // namespace
}  // namespace wasabihook::gateway
