#ifndef TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define TESTS_GATEWAY_GATEWAY_FIXTURE_H_

// Fixture of the end-to-end tests of the gateway.

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "platform/testing/fakes.h"

namespace wasabihook::gateway {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeBackendServer;
using testing::FakeCaller;
using testing::FakeStoreServer;
using testing::RunUntil;
using testing::ServerFault;

inline constexpr size_t kShardCount = 4;

inline std::string Record(char letter) {
  return std::string(16, letter);
}

// A gateway with four shards of two servers each and a service for writes, over
// fakes of the platform, on one event loop.
class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest() : m_store(&m_loop) {
    for (size_t shard = 0; shard < kShardCount; ++shard) {
      for (const char* replica : {"x", "y"}) {
        const auto letter = static_cast<char>('a' + shard);
        AddServer("s" + std::to_string(shard) + replica, Service(shard),
                  Record(letter));
      }
    }
    AddServer("w1", "writes", "done");
    AddServer("w2", "writes", "done");
    PutConfig(1);
    m_settings.instance = InstanceId("gateway-1");
    m_settings.data_centre = DataCentreId("a");
    m_settings.caller_address = "127.0.0.1:0";
    m_settings.readiness_address = "127.0.0.1:0";
    m_settings.metrics_address = "127.0.0.1:0";
    m_settings.feed_address = "127.0.0.1:0";
    m_settings.store_address = m_store.address();
  }

  static std::string Service(size_t shard) {
    return "shard" + std::to_string(shard);
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 const std::string& body) {
    m_servers[id] = std::make_unique<FakeBackendServer>(&m_loop, id, body);
    m_store.Put("servers/" + id, m_servers[id]->Entry(service));
  }

  FakeBackendServer& Server(const std::string& id) { return *m_servers.at(id); }

  // Writes a configuration with a scatter-gather route and a non-idempotent
  // route.
  void PutConfig(int version, bool with_extra_route = false) {
    json gather = json::array();
    json services = json::array();
    for (size_t shard = 0; shard < kShardCount; ++shard) {
      gather.push_back(Service(shard));
      services.push_back({{"name", Service(shard)}, {"max_conns", 25}});
    }
    services.push_back({{"name", "writes"}, {"max_conns", 25}});
    json routes = json::array();
    routes.push_back({{"name", "search"},
                      {"host", "h.example"},
                      {"path_prefix", "/search/"},
                      {"type", "idempotent"},
                      {"timeout_ms", 600},
                      {"slo_ms", 150},
                      {"max_attempts", 2},
                      {"gather", gather},
                      {"top_k", 3},
                      {"min_version", 0.75}});
    routes.push_back({{"name", "write"},
                      {"host", "h.example"},
                      {"path_prefix", "/write/"},
                      {"type", "non_idempotent"},
                      {"timeout_ms", 500},
                      {"slo_ms", 200},
                      {"max_attempts", 2},
                      {"backend", "writes"}});
    if (with_extra_route)
      routes.push_back({{"name", "extra"},
                        {"host", "h.example"},
                        {"path_prefix", "/extra/"},
                        {"type", "idempotent"},
                        {"timeout_ms", 500},
                        {"slo_ms", 200},
                        {"max_attempts", 2},
                        {"backend", "writes"}});
    m_store.Put("op/config", json{{"version", version},
                                  {"routes", routes},
                                  {"backends", services},
                                  {"limits", json::object()}}
                                 .dump());
  }

  void Start() {
    m_gateway = std::make_unique<Gateway>(
        &m_loop, m_settings, "/nonexistent",
        platform_adapter::MakePlatformAdapter(),
        platform_adapter::MakeStoreCodec(), MakeRandomSource(1));
    ASSERT_TRUE(RunUntil(m_loop, [this] { return m_gateway->ready(); }));
  }

  // Sends a request and waits for the response.
  testing::CallerReply SendRequest(const std::string& line,
                                   const std::string& body = "",
                                   int deadline_ms = 800) {
    FakeCaller caller(&m_loop, m_gateway->caller_address());
    caller.Send(Head(line, body, deadline_ms), body);
    EXPECT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
    return caller.done() ? caller.reply() : testing::CallerReply();
  }

  std::string Head(const std::string& line,
                   const std::string& body = "",
                   int deadline_ms = 800) {
    std::string head = line +
                       " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" +
                       std::to_string(++m_requests) +
                       "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms);
    if (!body.empty())
      head += "\r\nContent-Length: " + std::to_string(body.size());
    return head;
  }

  // Repeats the request for a few seconds until it succeeds.
  bool SucceedsEventually(const std::string& line) {
    for (int i = 0; i < 40; ++i) {
      if (SendRequest(line).status == 200)
        return true;
      RunUntil(
          m_loop, [] { return false; }, milliseconds(100));
    }
    return false;
  }

  void SetShardFault(size_t shard, ServerFault fault) {
    for (const char* replica : {"x", "y"})
      Server("s" + std::to_string(shard) + replica).SetFault(fault);
  }

  // Writes a configuration with one route, to which `fields` are added.
  void PutSingleRoute(json fields, const std::vector<std::string>& services) {
    json route = {{"name", "single"},          {"host", "h.example"},
                  {"path_prefix", "/single/"}, {"type", "idempotent"},
                  {"timeout_ms", 500},         {"slo_ms", 200}};
    route.update(fields);
    json list = json::array();
    for (const std::string& service : services)
      list.push_back({{"name", service}, {"max_conns", 25}});
    m_store.Put("op/config", json{{"version", 9},
                                  {"routes", json::array({route})},
                                  {"backends", list},
                                  {"limits", json::object()}}
                                 .dump());
  }

  uint32_t ShardArrivals() {
    uint32_t out = 0;
    for (const auto& [id, server] : m_servers)
      out += id[0] == 's' ? server->received_requests() : 0;
    return out;
  }

  size_t WriteCount() {
    return Server("w1").executed_requests().size() +
           Server("w2").executed_requests().size();
  }

  EventLoop m_loop;
  FakeStoreServer m_store;
  std::map<std::string, std::unique_ptr<FakeBackendServer>> m_servers;
  GatewaySettings m_settings;
  std::unique_ptr<Gateway> m_gateway;
  int m_requests = 0;
};

}  // namespace wasabihook::gateway

#endif  // TESTS_GATEWAY_GATEWAY_FIXTURE_H_
