// The whole gateway against stand-ins of the platform, over loopback.

#include "gateway/gateway.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform.h"
#include "platform/testing/stand_in.h"
#include "runtime/socket_address.h"

namespace wasabihook::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerStandIn;
using testing::RunUntil;
using testing::ServerFault;
using testing::ServerStandIn;
using testing::StoreStandIn;

constexpr size_t kShards = 4;

std::string Record(char letter) {
  return std::string(16, letter);
}

class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest() : m_store(&m_loop) {
    for (size_t shard = 0; shard < kShards; ++shard) {
      for (const char* copy : {"x", "y"}) {
        const auto letter = static_cast<char>('a' + shard);
        AddServer("s" + std::to_string(shard) + copy, Service(shard),
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
    m_servers[id] = std::make_unique<ServerStandIn>(&m_loop, id, body);
    m_store.Put("servers/" + id, m_servers[id]->Entry(service));
  }

  ServerStandIn& Server(const std::string& id) { return *m_servers.at(id); }

  // Version `version` with a scattered route and a route that may run once.
  void PutConfig(int version, bool with_extra_route = false) {
    json gather = json::array();
    json services = json::array();
    for (size_t shard = 0; shard < kShards; ++shard) {
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

  // Sends and waits for the answer.
  testing::CallerReply Ask(const std::string& line,
                           const std::string& body = "",
                           int deadline_ms = 800) {
    CallerStandIn caller(&m_loop, m_gateway->caller_address());
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

  // Asks until the answer is a success, for a few seconds.
  bool IsServedSoon(const std::string& line) {
    for (int i = 0; i < 40; ++i) {
      if (Ask(line).status == 200)
        return true;
      RunUntil(
          m_loop, [] { return false; }, milliseconds(100));
    }
    return false;
  }

  void SetShardFault(size_t shard, ServerFault fault) {
    for (const char* copy : {"x", "y"})
      Server("s" + std::to_string(shard) + copy).SetFault(fault);
  }

  // A configuration with one route, which `fields` complete.
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
      out += id[0] == 's' ? server->arrivals() : 0;
    return out;
  }

  size_t Writes() {
    return Server("w1").ran().size() + Server("w2").ran().size();
  }

  EventLoop m_loop;
  StoreStandIn m_store;
  std::map<std::string, std::unique_ptr<ServerStandIn>> m_servers;
  GatewaySettings m_settings;
  std::unique_ptr<Gateway> m_gateway;
  int m_requests = 0;
};

// --- Answers ---

TEST_F(GatewayTest, MergesOneReplyOfEachShard) {
  Start();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, Record('d') + Record('c') + Record('b'));
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "0");
  const std::string& proofs = reply.headers.at("x-part-stamps");
  EXPECT_EQ(std::count(proofs.begin(), proofs.end(), ','), 3);
}

// Guards against an answer that names parts it does not have: a failure is no
// part even if it carries a proof.
TEST_F(GatewayTest, FailuresAreNoParts) {
  SetShardFault(0, ServerFault::kError);
  Start();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "1");
  EXPECT_EQ(reply.headers.at("x-part-stamps").find("s0"), std::string::npos);
}

// Guards against another request's reply in an answer.
TEST_F(GatewayTest, ReplyWithAnotherIdIsNoPart) {
  SetShardFault(1, ServerFault::kForeignId);
  Start();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "1");
}

TEST_F(GatewayTest, SuccessWithoutProofIsNoPart) {
  SetShardFault(1, ServerFault::kNoProof);
  Start();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "1");
}

// Guards against a caller that waits for a shard that does not answer.
TEST_F(GatewayTest, AnswersAtTheObjectiveWithoutASilentShard) {
  SetShardFault(2, ServerFault::kSilent);
  Start();
  const TimePoint start = m_loop.Now();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.headers.at("x-missing-parts"), "1");
  EXPECT_LT(m_loop.Now() - start, milliseconds(400));
}

// Guards against an answer below the least share, and against one that comes
// after the route's timeout.
TEST_F(GatewayTest, FailsAtTheTimeoutBelowTheLeastShare) {
  SetShardFault(0, ServerFault::kSilent);
  SetShardFault(2, ServerFault::kSilent);
  Start();
  const TimePoint start = m_loop.Now();
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 504);
  EXPECT_GE(m_loop.Now() - start, milliseconds(550));
  EXPECT_LT(m_loop.Now() - start, milliseconds(1100));
}

// --- Requests that may run once ---

TEST_F(GatewayTest, PassesTheServersAnswerOn) {
  Start();
  const auto reply = Ask("POST /write/a", "payload");
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, "done");
  EXPECT_TRUE(reply.headers.contains("x-server-stamp"));
  EXPECT_EQ(Writes(), 1U);
}

// Guards against a second run of work whose answer did not come.
TEST_F(GatewayTest, UnansweredWriteIsNotSentAgain) {
  Server("w1").SetFault(ServerFault::kSilent);
  Server("w2").SetFault(ServerFault::kSilent);
  Start();
  const auto reply = Ask("POST /write/a", "payload");
  EXPECT_EQ(reply.status, 504);
  EXPECT_EQ(Writes(), 1U);
}

// Guards against giving up although a server has stated that it ran nothing.
TEST_F(GatewayTest, RefusedWriteGoesToTheOtherServer) {
  Server("w1").SetFault(ServerFault::kRefuse);
  Start();
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(Ask("POST /write/a", "payload").status, 200);
  EXPECT_EQ(Server("w2").ran().size(), 6U);
}

// Guards against a refusal that names no time, and against one that is sent
// though the work ran.
TEST_F(GatewayTest, RefusesWithRetryAfterIfNothingRan) {
  Server("w1").SetFault(ServerFault::kRefuse);
  Server("w2").SetFault(ServerFault::kRefuse);
  Start();
  const auto reply = Ask("POST /write/a", "payload");
  EXPECT_EQ(reply.status, 503);
  EXPECT_GT(std::stod(reply.headers.at("retry-after")), 0.0);
  EXPECT_EQ(Writes(), 0U);
}

TEST_F(GatewayTest, ServersOwnFailureIsPassedOn) {
  Server("w1").SetFault(ServerFault::kError);
  Server("w2").SetFault(ServerFault::kError);
  Start();
  const auto reply = Ask("POST /write/a", "payload");
  EXPECT_EQ(reply.status, 500);
  EXPECT_TRUE(reply.headers.contains("x-server-stamp"));
  EXPECT_EQ(Writes(), 1U);
}

// Guards against a success that no server has proved.
TEST_F(GatewayTest, UnprovenSuccessIsNotPassedOn) {
  Server("w1").SetFault(ServerFault::kNoProof);
  Server("w2").SetFault(ServerFault::kNoProof);
  Start();
  EXPECT_EQ(Ask("POST /write/a", "payload").status, 502);
  EXPECT_EQ(Writes(), 1U);
}

// Guards against work at an address that another server has taken over.
TEST_F(GatewayTest, WrongServerIsReplacedByAnother) {
  Server("w1").SetFault(ServerFault::kWrongServer);
  Start();
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(Ask("POST /write/a", "payload").status, 200);
}

// Guards against a stream of requests to an address that another server has
// taken over while the store still lists the old one: each counts as a repeat
// at the service that has the address now. The shard's other server is silent,
// so that nothing better is at hand.
TEST_F(GatewayTest, AddressOfAnotherServerIsNotAskedAgain) {
  Server("s0x").SetFault(ServerFault::kWrongServer);
  Server("s0y").SetFault(ServerFault::kSilent);
  Start();
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(Ask("GET /search/q").status, 200);
  EXPECT_EQ(Server("s0x").arrivals(), 1U);
  // A newer entry shows that the server is there again.
  Server("s0x").SetFault(ServerFault::kNone);
  json entry = json::parse(Server("s0x").Entry(Service(0)));
  entry["born"] = entry["born"].get<int64_t>() + 1;
  m_store.Put("servers/s0x", entry.dump());
  bool complete = false;
  for (int i = 0; i < 20 && !complete; ++i)
    complete = Ask("GET /search/q").headers["x-missing-parts"] == "0";
  EXPECT_TRUE(complete);
}

// Guards against work for queries that cannot become whole: with shards that
// refuse everything, later queries are refused before anything is sent, and are
// served again soon after the shards are.
TEST_F(GatewayTest, OverloadIsRefusedBeforeAnythingIsSent) {
  for (size_t shard = 0; shard < kShards; ++shard)
    SetShardFault(shard, ServerFault::kRefuse);
  Start();
  uint32_t refused_at_once = 0;
  for (int i = 0; i < 60; ++i) {
    const uint32_t before = ShardArrivals();
    const testing::CallerReply reply = Ask("GET /search/q");
    EXPECT_GE(reply.status, 500);
    if (ShardArrivals() == before) {
      ++refused_at_once;
      EXPECT_EQ(reply.status, 503);
      EXPECT_TRUE(reply.headers.contains("retry-after"));
    }
    RunUntil(
        m_loop, [] { return false; }, milliseconds(10));
  }
  EXPECT_GT(refused_at_once, 20U);
  for (size_t shard = 0; shard < kShards; ++shard)
    SetShardFault(shard, ServerFault::kNone);
  EXPECT_TRUE(IsServedSoon("GET /search/q"));
}

// Guards against a repeat that is not counted: an attempt that reached no
// server is replaced for free only if none before it reached one. The budget
// allows a single repeat here.
TEST_F(GatewayTest, ReplacementAfterALostReplyCountsAsARepeat) {
  for (const char* id : {"n1", "n2", "n3"}) {
    AddServer(id, "lossy", "done");
    Server(id).SetFault(ServerFault::kNoProof);
  }
  // Order of choice: n1, the server without a listener, then the remote ones.
  const auto put = [this](const std::string& id, const json& changes) {
    json entry = json::parse(Server("n1").Entry("lossy"));
    entry["address"] = Server(id == "dead" ? "n1" : id).address();
    entry.update(changes);
    m_store.Put("servers/" + id, entry.dump());
  };
  const int closed = OpenListenSocket("127.0.0.1:0");
  const std::string nobody = BoundAddress(closed);
  close(closed);
  put("dead", {{"address", nobody}, {"warmup_left_ms", 60000}});
  put("n2", {{"zone", "b"}});
  put("n3", {{"zone", "b"}});
  PutSingleRoute({{"backend", "lossy"}, {"max_attempts", 2}}, {"lossy"});
  m_settings.bounds.retry_ratio = 0;
  m_settings.bounds.retry_slack = 1.5;
  Start();
  constexpr uint32_t kRequests = 6;
  for (uint32_t i = 0; i < kRequests; ++i)
    EXPECT_EQ(Ask("GET /single/q").status, 502);
  uint32_t arrivals = 0;
  for (const char* id : {"n1", "n2", "n3"})
    arrivals += Server(id).arrivals();
  EXPECT_LE(arrivals, kRequests + 1);
  EXPECT_GE(arrivals, kRequests);
}

// Guards against parts of a split that get another share than their weight.
TEST_F(GatewayTest, SplitSendsEachPartItsShare) {
  AddServer("p1", "part1", "done");
  AddServer("p2", "part2", "done");
  PutSingleRoute({{"split",
                   {{{"backend", "part1"}, {"weight", 3}},
                    {{"backend", "part2"}, {"weight", 1}}}},
                  {"max_attempts", 1}},
                 {"part1", "part2"});
  Start();
  constexpr uint32_t kRequests = 80;
  for (uint32_t i = 0; i < kRequests; ++i)
    EXPECT_EQ(Ask("GET /single/q").status, 200);
  EXPECT_EQ(Server("p1").arrivals(), kRequests * 3 / 4);
  EXPECT_EQ(Server("p2").arrivals(), kRequests / 4);
}

// Guards against servers that are told a longer time than the caller waits.
TEST_F(GatewayTest, PassesOnTheTimeThatIsLeft) {
  Start();
  Ask("POST /write/a", "payload", 300);
  const std::string& deadline = Server("w1").ran().empty()
                                    ? Server("w2").last_deadline()
                                    : Server("w1").last_deadline();
  EXPECT_GT(std::stoi(deadline), 200);
  EXPECT_LE(std::stoi(deadline), 300);
}

// Guards against requests that wait for a connection to a machine that does not
// answer: nothing was handed over, so another server can take them at once.
TEST_F(GatewayTest, HangingConnectionIsReplacedAtOnce) {
  // A full accept queue drops the handshake of further connections.
  const int listener = OpenListenSocket("127.0.0.1:0");
  ASSERT_EQ(listen(listener, 0), 0);
  const std::string address = BoundAddress(listener);
  std::vector<Socket> fill;
  for (int i = 0; i < 4; ++i)
    fill.push_back(ConnectTo(address, {}));
  json entry = json::parse(Server("w1").Entry("writes"));
  entry["address"] = address;
  m_store.Put("servers/w1", entry.dump());
  Start();
  for (int i = 0; i < 4; ++i) {
    const TimePoint start = m_loop.Now();
    EXPECT_EQ(Ask("POST /write/a", "payload").status, 200);
    EXPECT_LT(m_loop.Now() - start, milliseconds(300));
  }
  EXPECT_EQ(Server("w2").ran().size(), 4U);
  close(listener);
}

// --- Callers ---

// Guards against hedges that go on, or are sent, for callers that have gone.
TEST_F(GatewayTest, CallersCloseEndsHedgesToo) {
  SetShardFault(0, ServerFault::kSilent);
  Start();
  CallerStandIn caller(&m_loop, m_gateway->caller_address());
  caller.Send(Head("GET /search/q"));
  ASSERT_TRUE(RunUntil(m_loop, [this] {
    return Server("s0x").arrivals() + Server("s0y").arrivals() == 2;
  }));
  caller.Close();
  EXPECT_TRUE(RunUntil(
      m_loop,
      [this] {
        return Server("s0x").closed_early() + Server("s0y").closed_early() == 2;
      },
      milliseconds(500)));
}

// Guards against work for callers that have gone.
TEST_F(GatewayTest, CallersCloseEndsTheWork) {
  for (size_t shard = 0; shard < kShards; ++shard)
    SetShardFault(shard, ServerFault::kSilent);
  Start();
  CallerStandIn caller(&m_loop, m_gateway->caller_address());
  caller.Send(Head("GET /search/q"));
  ASSERT_TRUE(RunUntil(m_loop, [this] {
    return Server("s0x").arrivals() + Server("s0y").arrivals() > 0;
  }));
  caller.Close();
  const auto closed = [this] {
    uint32_t count = 0;
    for (const auto& [id, server] : m_servers)
      count += server->closed_early();
    return count >= kShards;
  };
  EXPECT_TRUE(RunUntil(m_loop, closed, milliseconds(500)));
}

TEST_F(GatewayTest, UnknownRouteGets404AndSmuggledRequestGets400) {
  Start();
  EXPECT_EQ(Ask("GET /other/q").status, 404);
  const std::string smuggled =
      "POST /write/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: s\r\n"
      "Content-Length: 5\r\nTransfer-Encoding: chunked";
  CallerStandIn caller(&m_loop, m_gateway->caller_address());
  caller.Send(smuggled, "0\r\n\r\n");
  ASSERT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
  EXPECT_EQ(caller.reply().status, 400);
  EXPECT_EQ(Writes(), 0U);
}

// --- Configuration and servers ---

// Guards against 404 for a route that this instance does not know yet.
TEST_F(GatewayTest, AnswersUnavailableBeforeAConfigurationIsKnown) {
  m_store.SetSilent(true);
  m_gateway = std::make_unique<Gateway>(&m_loop, m_settings, "/nonexistent",
                                        platform_adapter::MakePlatformAdapter(),
                                        platform_adapter::MakeStoreCodec(),
                                        MakeRandomSource(1));
  const auto reply = Ask("GET /search/q");
  EXPECT_EQ(reply.status, 503);
  EXPECT_TRUE(reply.headers.contains("retry-after"));
  EXPECT_FALSE(m_gateway->ready());
  m_store.SetSilent(false);
  EXPECT_TRUE(RunUntil(m_loop, [this] { return m_gateway->ready(); }));
}

// Guards against a version that returns, or a broken one that takes effect.
TEST_F(GatewayTest, ConfigurationOnlyMovesForward) {
  Start();
  PutConfig(5, true);
  EXPECT_TRUE(IsServedSoon("GET /extra/q"));
  PutConfig(3);
  m_store.Put("op/config", "{broken");
  RunUntil(
      m_loop, [] { return false; }, milliseconds(1200));
  EXPECT_EQ(Ask("GET /extra/q").status, 200);
}

// Guards against new work for a server that is leaving.
TEST_F(GatewayTest, DrainingServerGetsNoNewWork) {
  Start();
  m_store.Put("servers/w1", Server("w1").Entry("writes", "draining"));
  RunUntil(
      m_loop, [] { return false; }, milliseconds(1000));
  const size_t before = Server("w1").ran().size();
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(Ask("POST /write/a", "p").status, 200);
  EXPECT_EQ(Server("w1").ran().size(), before);
}

// Guards against entries of other writers that take known servers out.
TEST_F(GatewayTest, UnreadableEntryLeavesTheOthers) {
  Start();
  m_store.Put("servers/bad", "\xff\xfe");
  m_store.Put("servers/odd", R"({"backend":"writes","state":7})");
  RunUntil(
      m_loop, [] { return false; }, milliseconds(800));
  EXPECT_EQ(Ask("POST /write/a", "p").status, 200);
}

// Guards against a gap in the history that hides changes.
TEST_F(GatewayTest, ListsAgainAfterTheHistoryIsGone) {
  Start();
  RunUntil(
      m_loop, [] { return false; }, milliseconds(700));
  PutConfig(9, true);
  m_store.Compact();
  EXPECT_TRUE(IsServedSoon("GET /extra/q"));
}

// Guards against a fleet that stops serving when the store is away, and against
// a storm of calls meanwhile.
TEST_F(GatewayTest, ServesOnWhileTheStoreIsDown) {
  Start();
  m_store.SetRefusing(true);
  const uint32_t before = m_store.calls("/v1/kv-watch");
  RunUntil(
      m_loop, [] { return false; }, seconds(2));
  EXPECT_EQ(Ask("GET /search/q").status, 200);
  EXPECT_LE(m_store.calls("/v1/kv-watch") - before, 10U);
  m_store.SetRefusing(false);
  PutConfig(7, true);
  EXPECT_TRUE(IsServedSoon("GET /extra/q"));
}

// Guards against a loss of servers whose entries lapsed with the store.
TEST_F(GatewayTest, LapsedEntriesAreKeptUntilTheyReturn) {
  Start();
  m_store.SetRefusing(true);
  RunUntil(
      m_loop, [] { return false; }, milliseconds(2500));
  for (const auto& [id, server] : m_servers)
    m_store.Remove("servers/" + id);
  m_store.SetRefusing(false);
  RunUntil(
      m_loop, [] { return false; }, milliseconds(1600));
  EXPECT_EQ(Ask("GET /search/q").status, 200);
}

// --- Stop ---

// Guards against a stop that cuts a request, and against an instance that
// still counts as ready while it leaves.
TEST_F(GatewayTest, DrainAnswersWhatIsInFlight) {
  SetShardFault(2, ServerFault::kSilent);
  Start();
  CallerStandIn caller(&m_loop, m_gateway->caller_address());
  caller.Send(Head("GET /search/q"));
  ASSERT_TRUE(RunUntil(m_loop, [this] {
    return Server("s0x").arrivals() + Server("s0y").arrivals() > 0;
  }));
  m_gateway->BeginDrain();
  EXPECT_FALSE(m_gateway->ready());
  ASSERT_TRUE(RunUntil(m_loop, [&caller] { return caller.done(); }));
  EXPECT_EQ(caller.reply().status, 200);
  EXPECT_EQ(caller.reply().headers.at("connection"), "close");
  // A request that still comes is served too.
  EXPECT_EQ(Ask("GET /search/q").status, 200);
}

// Guards against metrics that lag behind the answer they count.
TEST_F(GatewayTest, MetricsCountTheAnsweredRequest) {
  Start();
  Ask("GET /search/q");
  CallerStandIn reader(&m_loop, m_gateway->metrics_address());
  reader.Send("GET /metrics HTTP/1.1\r\nHost: a");
  ASSERT_TRUE(RunUntil(m_loop, [&reader] { return reader.done(); }));
  EXPECT_NE(reader.reply().body.find(
                "wasabihook_gateway_requests_total{route=\"search\",status="
                "\"200\"} 1"),
            std::string::npos);
}

}  // namespace
}  // namespace wasabihook::gateway
