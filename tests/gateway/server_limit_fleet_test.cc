// Pattern: a server that names the requests a second that it takes from all
// instances together. Real sockets on the loopback interface.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

constexpr size_t kInstances = 4;
constexpr double kLimitPerSecond = 12;
// A server may get this multiple of what its limit allows in a window, and some
// requests more, from instances that had the time to learn of the limit.
constexpr Duration kWindow = seconds(4);
constexpr Duration kLearningTime = milliseconds(500);
constexpr double kTolerance = 1.5;
constexpr size_t kSlack = 5;
// About five times the limit.
constexpr Duration kRequestPeriod = milliseconds(16);

// Four instances over a service of one server.
class ServerLimitTest : public ::testing::Test {
 protected:
  ServerLimitTest()
      : m_store(&m_loop),
        m_server(
            std::make_unique<FakeBackendServer>(&m_loop, "i-1", "parcel")) {
    m_store.Put("servers/i-1", m_server->Entry("parcels"));
    const json route = {{"name", "parcel"},           {"host", "h.example"},
                        {"path_prefix", "/parcels/"}, {"type", "idempotent"},
                        {"timeout_ms", 500},          {"slo_ms", 200},
                        {"max_attempts", 2},          {"backend", "parcels"}};
    m_store.Put("op/config",
                json{{"version", 1},
                     {"routes", json::array({route})},
                     {"backends",
                      json::array({{{"name", "parcels"}, {"max_conns", 25}}})},
                     {"limits", json::object()}}
                    .dump());
    m_gateways.resize(kInstances);
    for (size_t i = 0; i < kInstances; ++i) {
      StartInstance(i);
      WaitUntilReady(i);
    }
    // Until the instances know that they are all.
    RunUntil(
        m_loop, [] { return false; }, kFleetDiscoveryTime + seconds(2));
  }

  void StartInstance(size_t index) {
    m_gateways[index].reset();
    GatewaySettings settings;
    settings.instance = InstanceId("gateway-" + std::to_string(index));
    settings.data_centre = DataCentreId(index % 2 == 0 ? "a" : "b");
    settings.caller_address = "127.0.0.1:0";
    settings.readiness_address = "127.0.0.1:0";
    settings.feed_address = "127.0.0.1:0";
    settings.store_address = m_store.address();
    m_gateways[index] = std::make_unique<Gateway>(
        &m_loop, settings, "/nonexistent",
        platform_adapter::MakePlatformAdapter(),
        platform_adapter::MakeStoreCodec(), MakeRandomSource(index));
  }

  void WaitUntilReady(size_t index) {
    ASSERT_TRUE(
        RunUntil(m_loop, [this, index] { return m_gateways[index]->ready(); }));
  }

  // Sends a request and notes whether the server got it.
  int Request(size_t instance) {
    const uint32_t before = m_server->received_requests();
    FakeCaller caller(&m_loop, m_gateways[instance]->caller_address());
    caller.Send(
        "GET /parcels/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" +
        std::to_string(++m_requests) + "\r\nX-Deadline-Ms: 800");
    EXPECT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
    for (uint32_t i = before; i < m_server->received_requests(); ++i)
      m_arrivals.push_back(m_loop.Now());
    return caller.done() ? caller.reply().status : 0;
  }

  // Sends requests to all instances in turn. Returns how many were served.
  size_t Drive(Duration time, Duration period = kRequestPeriod) {
    const TimePoint end = m_loop.Now() + time;
    size_t served = 0;
    TimePoint next = m_loop.Now();
    while (m_loop.Now() < end) {
      served += Request(m_requests % kInstances) == 200 ? 1 : 0;
      next = next + period;
      RunUntil(m_loop, [this, next] { return m_loop.Now() >= next; });
    }
    return served;
  }

  // Most arrivals in any window that begins at `from` or later.
  size_t MostInWindow(TimePoint from) const {
    size_t most = 0;
    for (size_t i = 0; i < m_arrivals.size(); ++i) {
      if (m_arrivals[i] < from)
        continue;
      size_t count = 0;
      while (i + count < m_arrivals.size() &&
             m_arrivals[i + count] - m_arrivals[i] <= kWindow)
        ++count;
      most = std::max(most, count);
    }
    return most;
  }

  static size_t Allowed() {
    return static_cast<size_t>(kTolerance * kLimitPerSecond *
                               static_cast<double>(kWindow / seconds(1))) +
           kSlack;
  }

  EventLoop m_loop;
  FakeStoreServer m_store;
  std::unique_ptr<FakeBackendServer> m_server;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<TimePoint> m_arrivals;
  uint32_t m_requests = 0;
};

// Guards against the day capped: a server that names a limit gets as many
// requests as before, since no instance reads the field.
TEST_F(ServerLimitTest, IsKeptByAllInstancesTogether) {
  m_server->SetLimit(kLimitPerSecond);
  const TimePoint named_at = m_loop.Now();
  const size_t served = Drive(seconds(9));
  EXPECT_LE(MostInWindow(named_at + kLearningTime), Allowed());
  // Most of what the server takes is used.
  EXPECT_GE(served, static_cast<size_t>(0.6 * kLimitPerSecond * 9));
}

// Guards against requests that wait for a share of the limit until their time
// is up: what a server can't take is rejected at once.
TEST_F(ServerLimitTest, RejectsAtOnceWhatTheServerDoesNotTake) {
  m_server->SetLimit(kLimitPerSecond);
  Drive(seconds(2));
  size_t rejected = 0;
  for (size_t i = 0; i < 40; ++i) {
    const TimePoint sent_at = m_loop.Now();
    if (Request(i % kInstances) != 503)
      continue;
    ++rejected;
    EXPECT_LT(m_loop.Now() - sent_at, milliseconds(50));
  }
  EXPECT_GT(rejected, 20U);
}

// Guards against a limit that goes on after the server has stopped naming it.
TEST_F(ServerLimitTest, EndsWhenTheServerStopsNamingIt) {
  m_server->SetLimit(kLimitPerSecond);
  Drive(seconds(2));
  m_server->SetLimit(std::nullopt);
  Drive(seconds(2));
  for (size_t i = 0; i < 60; ++i)
    EXPECT_EQ(Request(i % kInstances), 200);
}

// Guards against retries of refused requests that go beyond the limit.
TEST_F(ServerLimitTest, RetriesCountToo) {
  m_server->SetLimit(kLimitPerSecond);
  m_server->SetFault(ServerFault::kError);
  const TimePoint named_at = m_loop.Now();
  Drive(seconds(6));
  EXPECT_LE(MostInWindow(named_at + kLearningTime), Allowed());
}

// Guards against instances that lose the store before they have found each
// other, of which each took the whole limit.
TEST_F(ServerLimitTest, HoldsBetweenInstancesThatDontKnowEachOther) {
  for (size_t i = 0; i < kInstances; ++i) {
    m_gateways[i].reset();
    m_store.Remove("wasabihook/instances/gateway-" + std::to_string(i));
  }
  for (size_t i = 0; i < kInstances; ++i)
    StartInstance(i);
  for (size_t i = 0; i < kInstances; ++i)
    WaitUntilReady(i);
  m_store.SetRefusing(true);
  m_server->SetLimit(kLimitPerSecond);
  const TimePoint named_at = m_loop.Now();
  Drive(seconds(6));
  EXPECT_LE(MostInWindow(named_at + kLearningTime), Allowed());
  // Once they have found each other, most of what the server takes is used.
  m_store.SetRefusing(false);
  Drive(kFleetDiscoveryTime);
  EXPECT_GE(Drive(seconds(5)), static_cast<size_t>(0.6 * kLimitPerSecond * 5));
}

// Guards against an instance that has just started and does not know of the
// limit.
TEST_F(ServerLimitTest, IsKnownToAnInstanceThatStarts) {
  m_server->SetLimit(kLimitPerSecond);
  const TimePoint named_at = m_loop.Now();
  Drive(seconds(2));
  for (size_t i = 0; i < kInstances; ++i) {
    StartInstance(i);
    WaitUntilReady(i);
    Drive(seconds(1));
  }
  EXPECT_LE(MostInWindow(named_at + kLearningTime), Allowed());
}

}  // namespace
}  // namespace wasabihook::gateway
