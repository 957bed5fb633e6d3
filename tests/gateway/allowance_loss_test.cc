// An allowance of a team while the instance that keeps its ledger is lost and
// returns. Real sockets on the loopback interface.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include "gateway/allowance/allowance_owners.h"
#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

constexpr size_t kInstances = 3;
constexpr Duration kRequestPeriod = milliseconds(4);

TeamConfig Hot() {
  return {.id = TeamId("hot"),
          .api_keys = {"k1"},
          .priority = std::nullopt,
          .allowance = {.rate = 50, .burst = 50}};
}

// Three instances over a service of one server. Callers of one team send five
// times its rate.
class AllowanceLossTest : public ::testing::Test {
 protected:
  AllowanceLossTest()
      : m_store(&m_loop),
        m_server(
            std::make_unique<FakeBackendServer>(&m_loop, "i-1", "parcel")) {
    m_store.Put("servers/i-1", m_server->Entry("parcels"));
    const json route = {{"name", "parcel"},           {"host", "h.example"},
                        {"path_prefix", "/parcels/"}, {"type", "idempotent"},
                        {"timeout_ms", 500},          {"slo_ms", 200},
                        {"backend", "parcels"}};
    m_store.Put("op/config",
                json{{"version", 1},
                     {"routes", json::array({route})},
                     {"backends",
                      json::array({{{"name", "parcels"}, {"max_conns", 99}}})},
                     {"tenants", json::array({{{"name", "hot"},
                                               {"api_keys", {"k1"}},
                                               {"rate_per_s", 50},
                                               {"burst", 50}}})},
                     {"limits", json::object()}}
                    .dump());
    for (size_t i = 0; i < kInstances; ++i)
      StartInstance(i);
  }

  static std::string Id(size_t index) {
    return "gateway-" + std::to_string(index);
  }

  void StartInstance(size_t index) {
    GatewaySettings settings;
    settings.instance = InstanceId(Id(index));
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

  // The instance to which the claims of the team go.
  static size_t Owner() {
    std::vector<AllowanceOwner> instances;
    for (size_t i = 0; i < kInstances; ++i)
      instances.push_back(
          {.id = InstanceId(Id(i)), .address = std::to_string(i)});
    AllowanceOwners owners;
    owners.SetInstances(instances);
    const TeamKey key = TeamDirectory({Hot()}).FindByKey("k1")->key;
    return std::stoul(owners.Select(key, TimePoint())->address);
  }

  // Sends requests to all instances that run, in turn.
  void Drive(Duration time) {
    const TimePoint end = m_loop.Now() + time;
    while (m_loop.Now() < end) {
      const auto& gateway = m_gateways[++m_requests % kInstances];
      if (gateway != nullptr && gateway->ready()) {
        m_callers.push_back(
            std::make_unique<FakeCaller>(&m_loop, gateway->caller_address()));
        m_callers.back()->Send(
            "GET /parcels/1 HTTP/1.1\r\nHost: h.example\r\nX-Key: k1\r\n"
            "X-Request-Id: r" +
            std::to_string(m_requests) + "\r\nX-Deadline-Ms: 800");
      }
      RunUntil(
          m_loop, [] { return false; }, kRequestPeriod);
      std::erase_if(m_callers,
                    [](const auto& caller) { return caller->done(); });
    }
  }

  EventLoop m_loop;
  FakeStoreServer m_store;
  std::unique_ptr<FakeBackendServer> m_server;
  std::array<std::unique_ptr<Gateway>, kInstances> m_gateways;
  std::vector<std::unique_ptr<FakeCaller>> m_callers;
  size_t m_requests = 0;
};

// Guards against two instances that each give out the whole rate after the one
// that kept the ledger was away for some seconds (review case 7).
TEST_F(AllowanceLossTest, AReturningOwnerDoesNotDoubleTheRate) {
  const size_t owner = Owner();
  RunUntil(
      m_loop, [] { return false; }, kFleetDiscoveryTime + seconds(1));
  m_server->RecordArrivals();
  Drive(seconds(8));
  m_gateways[owner].reset();
  Drive(milliseconds(3500));
  StartInstance(owner);
  Drive(seconds(8));

  const std::vector<FakeBackendServer::Arrival>& arrivals =
      m_server->arrivals();
  const ServiceBounds bounds;
  size_t most = 0;
  size_t first = 0;
  for (size_t i = 0; i < arrivals.size(); ++i) {
    while (arrivals[i].at - arrivals[first].at >= bounds.allowance_window)
      ++first;
    most = std::max(most, i - first + 1);
  }
  // 5 s of the rate, the burst, a tenth of both, and the slack.
  EXPECT_LE(most, 350U);
  // The owner was found: the team has been served.
  EXPECT_GE(arrivals.size(), 100U);
}

}  // namespace
}  // namespace wasabihook::gateway
