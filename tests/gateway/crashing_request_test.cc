// Pattern: a request that crashes each server that runs it, repeated by its
// caller at all instances. Real sockets on the loopback interface.

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "gateway/request_fingerprint.h"
#include "gateway_fixture.h"

namespace wasabihook::gateway {
namespace {

constexpr const char* kCrashTarget = "/parcels/crash";
constexpr const char* kCrashQuery = "/search/crash";
// Crash the server in one of three executions.
constexpr const char* kSometimesTarget = "/parcels/sometimes";
constexpr const char* kSometimesQuery = "/search/sometimes";
constexpr size_t kInstances = 3;
constexpr size_t kServers = 3;
constexpr size_t kShards = 6;
constexpr size_t kReplicas = 2;
constexpr Duration kRestartDelay = milliseconds(900);
// Time to learn of a crashing request after its third crash, and repetitions
// that may reach servers later.
constexpr Duration kLearningTime = seconds(4);
constexpr size_t kMaxLateRepetitions = 3;

// Three instances over a service and an index of several shards, whose servers
// start again under a new id some time after a crash.
class CrashingRequestTest : public ::testing::Test {
 protected:
  struct RunningServer {
    std::string service;
    std::unique_ptr<FakeBackendServer> server;
    bool restart_scheduled = false;
    size_t executed = 0;
  };

  CrashingRequestTest() : m_store(&m_loop) {
    for (size_t i = 0; i < kServers; ++i)
      StartServer("parcels");
    for (size_t i = 0; i < kShards * kReplicas; ++i)
      StartServer(Shard(i % kShards));
    PutRoutes();
    for (size_t i = 0; i < kInstances; ++i)
      StartInstance(i);
  }

  static std::string Shard(size_t number) {
    return "shard" + std::to_string(number);
  }

  void PutRoutes() {
    json services = json::array({{{"name", "parcels"}, {"max_conns", 25}}});
    json gather = json::array();
    for (size_t i = 0; i < kShards; ++i) {
      gather.push_back(Shard(i));
      services.push_back({{"name", Shard(i)}, {"max_conns", 25}});
    }
    json parcel = {{"name", "parcel"},           {"host", "h.example"},
                   {"path_prefix", "/parcels/"}, {"type", "idempotent"},
                   {"timeout_ms", 500},          {"slo_ms", 200},
                   {"max_attempts", 2},          {"backend", "parcels"}};
    json search = parcel;
    search.erase("backend");
    search.update({{"name", "search"},
                   {"path_prefix", "/search/"},
                   {"gather", gather},
                   {"top_k", 3},
                   {"min_version", 0.75}});
    m_store.Put("op/config", json{{"version", 1},
                                  {"routes", json::array({parcel, search})},
                                  {"backends", services},
                                  {"limits", json::object()}}
                                 .dump());
  }

  void StartServer(const std::string& service) {
    const std::string id = "i-" + std::to_string(++m_started_servers);
    const bool is_shard = service != "parcels";
    RunningServer entry{.service = service,
                        .server = std::make_unique<FakeBackendServer>(
                            &m_loop, id, is_shard ? Record('a') : "parcel")};
    entry.server->SetCrashTarget(is_shard ? kCrashQuery : kCrashTarget);
    entry.server->SetCrashTarget(
        is_shard ? kSometimesQuery : kSometimesTarget,
        [this] { return ++m_sometimes_runs % 3 == 0; });
    m_store.Put("servers/" + id, entry.server->Entry(service));
    m_servers.push_back(std::move(entry));
  }

  void StartInstance(size_t index) {
    GatewaySettings settings;
    settings.instance = InstanceId("gateway-" + std::to_string(index));
    settings.data_centre = DataCentreId("a");
    settings.caller_address = "127.0.0.1:0";
    settings.readiness_address = "127.0.0.1:0";
    settings.feed_address = "127.0.0.1:0";
    settings.store_address = m_store.address();
    auto gateway = std::make_unique<Gateway>(
        &m_loop, settings, "/nonexistent",
        platform_adapter::MakePlatformAdapter(),
        platform_adapter::MakeStoreCodec(), MakeRandomSource(index));
    ASSERT_TRUE(RunUntil(m_loop, [&gateway] { return gateway->ready(); }));
    if (index < m_gateways.size())
      m_gateways[index] = std::move(gateway);
    else
      m_gateways.push_back(std::move(gateway));
  }

  // Restarts crashed servers after a delay and notes the crashes.
  void TendServers() {
    for (size_t i = 0; i < m_servers.size(); ++i) {
      RunningServer& entry = m_servers[i];
      if (entry.server->running() || entry.restart_scheduled)
        continue;
      entry.restart_scheduled = true;
      m_crashes.push_back(m_loop.Now());
      const std::string id = entry.server->id();
      const std::string service = entry.service;
      m_loop.SubscribeOnce(kRestartDelay, [this, id, service] {
        m_store.Remove("servers/" + id);
        StartServer(service);
      });
    }
  }

  void Wait(Duration time) {
    const TimePoint end = m_loop.Now() + time;
    RunUntil(
        m_loop,
        [this, end] {
          TendServers();
          return m_loop.Now() >= end;
        },
        time + seconds(1));
  }

  int Request(size_t instance, const std::string& target) {
    FakeCaller caller(&m_loop, m_gateways[instance]->caller_address());
    caller.Send("GET " + target +
                " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r" +
                std::to_string(++m_requests) + "\r\nX-Deadline-Ms: 800");
    EXPECT_TRUE(RunUntil(m_loop, [this, &caller] {
      TendServers();
      return caller.done();
    }));
    return caller.done() ? caller.reply().status : 0;
  }

  // Repeats the crashing request until an instance rejects it at once, and
  // until the store has recorded that.
  void Quarantine() {
    for (int i = 0; !IsRecorded() && i < 80; ++i) {
      Request(m_requests % kInstances, kCrashTarget);
      Wait(milliseconds(150));
    }
    ASSERT_TRUE(IsRecorded());
    ASSERT_GE(crashes(), 3U);
    Wait(kRestartDelay + milliseconds(300));
  }
  static std::string StoreKey() {
    return "wasabihook/quarantine/" +
           ToHex(FingerprintOf("GET", "h.example", kCrashTarget, ""));
  }
  bool IsRecorded() const { return m_store.Has(StoreKey()); }

  size_t executions() const {
    return std::accumulate(m_servers.begin(), m_servers.end(), size_t{0},
                           [](size_t sum, const RunningServer& entry) {
                             return sum +
                                    entry.server->executed_requests().size();
                           });
  }

  // Repeats the request at all instances and returns how often it reached
  // servers later than the learning time after the third crash.
  size_t LateRepetitions(const std::string& target) {
    const auto repeat = [this, &target] {
      const size_t before = executions();
      Request(m_requests % kInstances, target);
      Wait(milliseconds(150));
      return executions() > before;
    };
    for (int i = 0; crashes() < 3 && i < 60; ++i)
      repeat();
    EXPECT_GE(crashes(), 3U);
    if (crashes() < 3)
      return 0;
    const TimePoint learned_by = m_crashes[2] + kLearningTime;
    while (m_loop.Now() < learned_by)
      repeat();
    size_t late = 0;
    for (int i = 0; i < 40; ++i)
      late += repeat() ? 1 : 0;
    return late;
  }

  // Number of executions so far that crashed a server.
  size_t crashes() const { return m_crashes.size(); }

  EventLoop m_loop;
  FakeStoreServer m_store;
  std::vector<RunningServer> m_servers;
  std::vector<std::unique_ptr<Gateway>> m_gateways;
  std::vector<TimePoint> m_crashes;
  uint32_t m_started_servers = 0;
  uint32_t m_requests = 0;
  uint32_t m_sometimes_runs = 0;
};

// Guards against inc1: a request that had crashed three servers was sent to
// further ones by every instance, as each repetition looked like a new request.
TEST_F(CrashingRequestTest, StopsReachingServersOnceThreeHaveCrashed) {
  EXPECT_LE(LateRepetitions(kCrashTarget), kMaxLateRepetitions);
  // Other requests of the same route are served.
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, "/parcels/other"), 200) << i;
}

// Guards against a query that crashes a server of each of its shards, as in the
// second play of inc1, and against retries that take down the other replicas.
TEST_F(CrashingRequestTest, QueryOverAllShardsStopsReachingServers) {
  Request(0, kCrashQuery);
  Wait(milliseconds(50));
  EXPECT_LT(crashes(), kShards * kReplicas);
  EXPECT_LE(LateRepetitions(kCrashQuery), kMaxLateRepetitions);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, "/search/other"), 200) << i;
}

// Guards against a request that crashes a part of its runs: each answer made
// the instances forget its crashes.
TEST_F(CrashingRequestTest, RequestThatCrashesAThirdOfItsRunsIsQuarantined) {
  EXPECT_LE(LateRepetitions(kSometimesTarget), kMaxLateRepetitions);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, "/parcels/other"), 200) << i;
}

// Guards against the same with a query, of which some shards crash each time.
TEST_F(CrashingRequestTest, QueryThatCrashesAThirdOfItsRunsIsQuarantined) {
  EXPECT_LE(LateRepetitions(kSometimesQuery), kMaxLateRepetitions);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, "/search/other"), 200) << i;
}

// Guards against a fleet that forgets a crashing request when all instances
// stop, and against an instance that starts without knowing it.
TEST_F(CrashingRequestTest, IsKnownAfterAllInstancesRestart) {
  Quarantine();
  const size_t before = crashes();
  for (size_t i = 0; i < kInstances; ++i)
    m_gateways[i].reset();
  for (size_t i = 0; i < kInstances; ++i)
    StartInstance(i);
  for (size_t i = 0; i < 2 * kInstances; ++i)
    EXPECT_EQ(Request(i % kInstances, kCrashTarget), 503);
  EXPECT_EQ(crashes(), before);
  EXPECT_EQ(Request(0, "/parcels/other"), 200);
}

// Guards against a verdict that ends with its key when the store revokes
// leases.
TEST_F(CrashingRequestTest, IsRecordedAgainAfterTheStoreRevokedItsKey) {
  Quarantine();
  const size_t before = crashes();
  m_store.Remove(StoreKey());
  Wait(milliseconds(1500));
  EXPECT_TRUE(IsRecorded());
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, kCrashTarget), 503);
  EXPECT_EQ(crashes(), before);
}

// Guards against a verdict that goes with its key because the instance that
// reached it has stopped: the store came back from a copy without it.
TEST_F(CrashingRequestTest,
       IsKnownAfterItsKeyAndTheInstanceThatWroteItAreGone) {
  Quarantine();
  const size_t before = crashes();
  for (size_t i = 0; i < kInstances; ++i)
    StartInstance(i);
  m_store.Remove(StoreKey());
  Wait(milliseconds(100));
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, kCrashTarget), 503);
  Wait(milliseconds(1500));
  EXPECT_TRUE(IsRecorded());
  EXPECT_EQ(crashes(), before);
}

// Guards against a verdict whose record is lost before anybody has read it: the
// store comes back from an older copy right after it has acknowledged it. Only
// the instance that wrote it knows it.
TEST_F(CrashingRequestTest, IsRecordedAgainIfTheStoreLosesItUnread) {
  m_gateways.resize(1);
  const auto copy = m_store.TakeCopy();
  bool restored = false;
  m_store.SetTransactionHook([this, &copy, &restored] {
    if (restored || !IsRecorded())
      return;
    restored = true;
    m_store.Restore(*copy);
    m_store.RepeatLostChanges();
  });
  for (int i = 0; !restored && i < 80; ++i) {
    Request(0, kCrashTarget);
    Wait(milliseconds(150));
  }
  ASSERT_TRUE(restored);
  Wait(seconds(3));
  EXPECT_TRUE(IsRecorded());
  m_store.SetTransactionHook(nullptr);
}

// Guards against a release that is lost with the store's last seconds: the
// record from before it comes back.
TEST_F(CrashingRequestTest, ReleaseOutlastsAnOlderRecord) {
  Quarantine();
  const std::string record = m_store.Value(StoreKey());
  for (RunningServer& entry : m_servers)
    entry.server->ClearCrashTargets();
  m_store.Put(StoreKey(), EncodeQuarantine({.released = true}));
  Wait(milliseconds(1500));
  m_store.Put(StoreKey(), record);
  Wait(milliseconds(1500));
  EXPECT_TRUE(DecodeQuarantine(m_store.Value(StoreKey())).released);
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, kCrashTarget), 200) << i;
}

// Guards against a quarantine that operators cannot end, for example after the
// servers were repaired.
TEST_F(CrashingRequestTest, OperatorReleasesARequest) {
  Quarantine();
  for (RunningServer& entry : m_servers)
    entry.server->ClearCrashTargets();
  m_store.Put(StoreKey(), EncodeQuarantine({.released = true}));
  Wait(milliseconds(1500));
  for (size_t i = 0; i < kInstances; ++i)
    EXPECT_EQ(Request(i, kCrashTarget), 200) << i;
}

// Guards against the quarantine of requests that ran beside servers that ended
// for another reason, again and again.
TEST_F(CrashingRequestTest, PopularRequestIsServedBesideLostServers) {
  size_t served = 0;
  constexpr size_t kRequests = 60;
  for (size_t i = 0; i < kRequests; ++i) {
    if (i % 20 == 10) {
      size_t lost = 0;
      for (RunningServer& entry : m_servers) {
        if (entry.service == "parcels" && entry.server->running() &&
            lost < kServers - 1) {
          entry.server->Crash();
          ++lost;
        }
      }
    }
    served += Request(i % kInstances, "/parcels/popular") == 200 ? 1 : 0;
    Wait(milliseconds(80));
  }
  EXPECT_EQ(served, kRequests);
}

}  // namespace
}  // namespace wasabihook::gateway
