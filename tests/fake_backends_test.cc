#include "testing/fake_backends/fake_fleet.h"

#include <curl/curl.h>
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <memory>
#include <set>
#include <string>

#include "backend_test_util.h"
#include "peers/backend/curl_transport.h"
#include "testing/fake_backends/control_server.h"

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeBackendsTest : public ::testing::Test {
 protected:
  void Start(FakeFleetOptions options) {
    m_fleet = std::make_unique<FakeFleet>(std::move(options));
    BackendTransportOptions transport;
    // Long enough that no probe is sent, since the tests count connections and
    // runs.
    transport.expected_response_time = [](const SubRequest&) {
      return seconds(60);
    };
    m_transport = std::make_unique<CurlBackendTransport>(transport);
    for (const FakeServerInfo& info : m_fleet->servers()) {
      m_transport->SetConnectionLimit(info.id, 16);
    }
  }
  SubReply Run(SubRequest request) {
    const SubRequestId id = request.id;
    m_transport->Send(std::move(request), m_replies.CallbackFor(id));
    return m_replies.Wait(id);
  }

  ReplyCollector m_replies;
  std::unique_ptr<FakeFleet> m_fleet;
  std::unique_ptr<CurlBackendTransport> m_transport;
};

std::string Call(const std::string& url, const std::string& body) {
  std::string reply;
  CURL* easy = curl_easy_init();
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  if (!body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt(
      easy, CURLOPT_WRITEFUNCTION,
      +[](char* data, size_t size, size_t n, std::string* out) {
        out->append(data, size * n);
        return size * n;
      });
  curl_easy_perform(easy);
  curl_easy_cleanup(easy);
  return reply;
}

// A server must not run more requests than it has slots, and must refuse
// requests once its queue is full.
TEST_F(FakeBackendsTest, LimitsWorkBySlotsAndQueue) {
  FakeFleetOptions options = SmallFleet();
  options.index_sets[0].slots = 2;
  options.index_sets[0].queue = 3;
  options.index_sets[0].service_median = milliseconds(200);
  Start(options);
  for (int i = 0; i < 12; ++i) {
    const std::string name = std::to_string(i);
    m_transport->Send(MakeSearch(*m_fleet, 0, name, "t1"),
                      m_replies.CallbackFor(SubRequestId(name)));
  }
  std::map<SubOutcome, int> outcomes;
  for (int i = 0; i < 12; ++i) {
    ++outcomes[m_replies.Wait(SubRequestId(std::to_string(i))).outcome];
  }
  EXPECT_EQ(outcomes[SubOutcome::kOk], 5);
  EXPECT_EQ(outcomes[SubOutcome::kOverloaded], 7);
}

// A repartition must neither lose nor duplicate records. Servers must keep
// serving the previous map, which running queries still use.
TEST_F(FakeBackendsTest, RepartitionKeepsEveryRecordOnce) {
  Start(SmallFleet(3));
  const auto keys_of = [&](uint64_t map, uint32_t groups) {
    std::multiset<std::string> rows;
    for (uint32_t group = 0; group < groups; ++group) {
      SubRequest request =
          MakeSearch(*m_fleet, group % 3,
                     std::to_string(map) + "-" + std::to_string(group), "t9");
      request.snapshot.map_version = MapVersion(map);
      request.group = ShardGroupId("g" + std::to_string(group));
      const SubReply reply = Run(request);
      EXPECT_EQ(ToString(reply.outcome), "ok");
      rows.insert(reply.rows.begin(), reply.rows.end());
    }
    return rows;
  };
  const auto before = keys_of(1, 3);
  EXPECT_FALSE(before.empty());
  EXPECT_EQ(m_fleet->Repartition("lenses", 5), 2U);
  EXPECT_EQ(keys_of(2, 5), before);
  const toml::table settings = toml::parse(m_fleet->SettingsToml("clerks"));
  const toml::node_view set = settings["index_sets"]["lenses"];
  EXPECT_EQ(set["map_version"].value<int>(), 2);
  int64_t records = 0;
  for (const toml::node& group : *set["groups"].as_array()) {
    records += *(*group.as_table())["records"].value<int64_t>();
    EXPECT_EQ((*group.as_table())["servers"].as_array()->size(), 1U);
  }
  EXPECT_EQ(records, 600);
}

// A request with the crash marker must take the server down, count as a crash
// and be followed by a restart.
TEST_F(FakeBackendsTest, CrashMarkerRestartsServer) {
  FakeFleetOptions options = SmallFleet();
  options.crash_marker = "poison";
  options.restart_delay = milliseconds(100);
  Start(options);
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 0, "bad", "a poison b")).outcome),
            "connection_lost");
  EXPECT_EQ(m_fleet->Stats(m_fleet->servers()[0].id).crashes, 1U);
  int attempt = 0;
  EXPECT_TRUE(WaitUntil([&] {
    const std::string name = "try-" + std::to_string(attempt++);
    return Run(MakeSearch(*m_fleet, 0, name, "t1")).outcome == SubOutcome::kOk;
  }));
}

// Connections above the limit must be reset, not served.
TEST_F(FakeBackendsTest, ExcessConnectionsAreReset) {
  FakeFleetOptions options = SmallFleet();
  options.index_sets[0].max_connections = 2;
  options.index_sets[0].service_median = milliseconds(300);
  Start(options);
  for (int i = 0; i < 6; ++i) {
    const std::string name = std::to_string(i);
    m_transport->Send(MakeSearch(*m_fleet, 0, name, "t1"),
                      m_replies.CallbackFor(SubRequestId(name)));
  }
  int served = 0;
  for (int i = 0; i < 6; ++i) {
    const SubReply reply = m_replies.Wait(SubRequestId(std::to_string(i)));
    served += reply.outcome == SubOutcome::kOk ? 1 : 0;
  }
  EXPECT_EQ(served, 2);
  const FakeServerStats stats = m_fleet->Stats(m_fleet->servers()[0].id);
  EXPECT_EQ(stats.peak_connections, 2U);
  EXPECT_EQ(stats.refused_connections, 4U);
}

// Faults must apply only to the selected servers, and a request with an invalid
// member must change no server.
TEST_F(FakeBackendsTest, ControlApiSelectsServers) {
  FakeFleetOptions options = SmallFleet(2, 2);
  options.data_centres = {"bay-a", "bay-b"};
  Start(options);
  ControlServer control(m_fleet.get(), 0);
  const std::string base = "http://" + control.address();
  EXPECT_EQ(Call(base + "/faults", R"({"select":{"data_centre":"bay-a"},)"
                                   R"("faults":{"draining":true}})"),
            R"({"servers":2})");
  for (size_t i = 0; i < 4; ++i) {
    const bool drains = m_fleet->servers()[i].data_centre == "bay-a";
    EXPECT_EQ(
        ToString(Run(MakeSearch(*m_fleet, i, std::to_string(i), "t1")).outcome),
        drains ? "draining" : "ok");
  }
  EXPECT_NE(Call(base + "/faults", R"({"faults":{"shed_share":1,"no":1}})")
                .find("error"),
            std::string::npos);
  EXPECT_EQ(ToString(Run(MakeSearch(*m_fleet, 1, "after", "t1")).outcome),
            "ok");
  Run(MakeOperation(*m_fleet, 1, "op"));
  const Json stats = Json::parse(Call(base + "/stats", ""));
  EXPECT_EQ(stats["operation_runs"]["key-op"], 1);
  const Json log = Json::parse(Call(base + "/log?kind=operation", ""));
  EXPECT_EQ(log["operations"][0]["request_id"], "op");
  EXPECT_FALSE(log.contains("reads"));
}

}  // namespace
}  // namespace wasabihook::testing
