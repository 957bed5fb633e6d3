#include "runtime/daemon.h"

#include <curl/curl.h>
#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "testing/fake_platform.h"
#include "testing/fake_platform_server.h"

namespace wasabihook {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Result {
  CURLcode code = CURLE_OK;
  long status = 0;
  std::string body;
};

size_t Append(char* data, size_t size, size_t count, void* into) {
  static_cast<std::string*>(into)->append(data, size * count);
  return size * count;
}

// GET without a body, else POST.
Result Call(const std::string& address,
            const std::string& path,
            const std::string& body = "") {
  Result result;
  const std::string url = "http://" + address + path;
  CURL* curl = curl_easy_init();
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  if (!body.empty())
    curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body.c_str());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.body);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT, 60L);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  result.code = curl_easy_perform(curl);
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &result.status);
  curl_easy_cleanup(curl);
  return result;
}

constexpr char kSearch[] =
    R"({"team":"sales-desk","index_set":"sales-lookup","query":"q"})";

// One daemon over HTTP with a fake platform and one backend server whose
// replies the test can delay.
class DaemonTest : public ::testing::Test {
 protected:
  DaemonTest()
      : m_platform(&m_timers, MakeRandomSource(1)),
        m_platform_server(&m_platform, "127.0.0.1:0"),
        m_backend(
            {},
            [this](const HttpRequest& request, const HttpResponder& responder) {
              OnBackendRequest(request, responder);
            }) {}

  ~DaemonTest() override {
    m_daemon.reset();
    m_platform_server.Stop();
    m_timers.Stop();
  }

  void StartDaemon(Duration notice, Duration limit) {
    StartConfig config;
    config.instance = InstanceId("i-1");
    config.data_centre = DataCentreId("bay-a");
    config.caller_address = config.peer_address = config.admin_address =
        "127.0.0.1:0";
    config.platform_address = m_platform_server.address();
    config.drain_notice = notice;
    config.drain_limit = limit;
    m_daemon = std::make_unique<Daemon>(config, "0.0.0");
  }

  void PutSettings() {
    std::promise<StoreStatus> written;
    m_platform.CompareAndSwap(
        "settings/teams/sales-desk", Revision(0),
        "[team]\nname = \"sales-desk\"\n[deadlines]\ndefault_deadline_ms = "
        "10000\n"
        "max_deadline_ms = 60000\n"
        "[index_sets.sales-lookup]\nindex_version = 1\nmap_version = 1\n"
        "[[index_sets.sales-lookup.groups]]\nid = \"g0\"\nrecords = 10\n"
        "servers = [\"" +
            m_backend.address() + "@bay-a\"]\n",
        [&](const WriteResult& result) { written.set_value(result.status); });
    ASSERT_EQ(written.get_future().get(), StoreStatus::kOk);
    WaitFor([this] { return m_daemon->ready(); });
  }

  static void WaitFor(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + seconds(60);
    while (!condition() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(milliseconds(5));
    ASSERT_TRUE(condition());
  }

  void OnBackendRequest(const HttpRequest& request,
                        const HttpResponder& responder) {
    if (request.path != "/v1/search") {
      responder({});
      return;
    }
    HttpResponse response;
    for (const char* name :
         {"X-Request-Id", "X-Index-Version", "X-Map-Version", "X-Shard-Group"})
      response.headers.emplace_back(name, request.Header(name).value_or(""));
    response.body = R"({"request_id":")" +
                    request.Header("X-Request-Id").value_or("") +
                    R"(","group":"g0","index_version":1,"map_version":1,)"
                    R"("records_searched":10,"row_count":1,"rows":[{"k":1}]})";
    std::lock_guard lock(m_mutex);
    if (m_hold)
      m_held.emplace_back(responder, response);
    else
      responder(response);
  }

  size_t HeldCount() {
    std::lock_guard lock(m_mutex);
    return m_held.size();
  }

  void ReleaseHeld() {
    std::lock_guard lock(m_mutex);
    for (const auto& [responder, response] : m_held)
      responder(response);
    m_held.clear();
    m_hold = false;
  }

  ThreadTimerService m_timers;
  testing::FakePlatform m_platform;
  testing::FakePlatformServer m_platform_server;
  std::mutex m_mutex;
  bool m_hold = false;
  std::vector<std::pair<HttpResponder, HttpResponse>> m_held;
  HttpListener m_backend;
  std::unique_ptr<Daemon> m_daemon;
};

// Guards against an instance that accepts traffic before its settings are
// loaded.
TEST_F(DaemonTest, NotReadyUntilSettingsAreLoaded) {
  StartDaemon(Duration(0), seconds(60));
  EXPECT_EQ(Call(m_daemon->caller_address(), "/healthz").status, 200);
  EXPECT_EQ(Call(m_daemon->caller_address(), "/readyz").status, 503);
  const Result early = Call(m_daemon->caller_address(), "/v1/search", kSearch);
  EXPECT_EQ(early.status, 503);
  EXPECT_EQ(json::parse(early.body)["error"], "no_settings");
  EXPECT_EQ(json::parse(early.body)["run_state"], "not_run");
  PutSettings();
  EXPECT_EQ(Call(m_daemon->caller_address(), "/readyz").status, 200);
}

// Guards against components that are not connected to each other.
TEST_F(DaemonTest, ServesSearchStatusAndMetrics) {
  StartDaemon(Duration(0), seconds(60));
  PutSettings();
  const Result search = Call(m_daemon->caller_address(), "/v1/search", kSearch);
  ASSERT_EQ(search.status, 200) << search.body;
  EXPECT_EQ(json::parse(search.body)["coverage"]["records_covered"], 10);
  EXPECT_EQ(json::parse(search.body)["rows"], json::parse(R"([{"k":1}])"));

  const json status =
      json::parse(Call(m_daemon->admin_address(), "/v1/status").body);
  EXPECT_EQ(status["instance"], "i-1");
  EXPECT_EQ(status["settings"][0]["subtree"], "teams/sales-desk");
  EXPECT_EQ(status["membership"]["members"].size(), 1U);
  EXPECT_EQ(status["servers"].size(), 1U);
  const std::string metrics = Call(m_daemon->admin_address(), "/metrics").body;
  EXPECT_NE(
      metrics.find("wasabihook_requests_total{index_set=\"sales-lookup\","
                   "kind=\"search\",result=\"ok\",team=\"sales-desk\"} 1"),
      std::string::npos)
      << metrics;
  EXPECT_EQ(Call(m_daemon->caller_address(), "/v1/status").status, 404);
}

// Guards against a graceful shutdown that aborts a request in flight, or that
// keeps new requests waiting instead of rejecting them.
TEST_F(DaemonTest, DrainFinishesRequestsInFlight) {
  StartDaemon(milliseconds(1), seconds(60));
  PutSettings();
  m_hold = true;
  const std::string address = m_daemon->caller_address();
  auto search = std::async(
      std::launch::async, [&] { return Call(address, "/v1/search", kSearch); });
  WaitFor([this] { return HeldCount() > 0; });
  auto exit =
      std::async(std::launch::async, [this] { return m_daemon->Wait(); });
  m_daemon->RequestShutdown();
  WaitFor([&] { return Call(address, "/readyz").status == 503; });
  WaitFor([&] {
    const Result refused = Call(address, "/v1/search",
                                R"({"team":"x","index_set":"y","query":"z"})");
    return json::parse(refused.body)["error"] == "shutting_down";
  });
  ReleaseHeld();
  EXPECT_EQ(search.get().status, 200);
  EXPECT_EQ(exit.get(), kExitDrained);
}

// Guards against a drain that a second shutdown request does not abort.
TEST_F(DaemonTest, SecondShutdownRequestAbortsRequestsInFlight) {
  StartDaemon(seconds(600), seconds(600));
  PutSettings();
  m_hold = true;
  const std::string address = m_daemon->caller_address();
  auto search = std::async(
      std::launch::async, [&] { return Call(address, "/v1/search", kSearch); });
  WaitFor([this] { return HeldCount() > 0; });
  auto exit =
      std::async(std::launch::async, [this] { return m_daemon->Wait(); });
  m_daemon->RequestShutdown();
  m_daemon->RequestShutdown();
  EXPECT_EQ(exit.get(), kExitRequestsAborted);
  EXPECT_EQ(search.get().status, 503);
  ReleaseHeld();
}

// Guards against a shutdown that takes longer than the drain limit.
TEST_F(DaemonTest, DrainLimitAbortsRequestsInFlight) {
  StartDaemon(milliseconds(1), milliseconds(50));
  PutSettings();
  m_hold = true;
  const std::string address = m_daemon->caller_address();
  auto search = std::async(
      std::launch::async, [&] { return Call(address, "/v1/search", kSearch); });
  WaitFor([this] { return HeldCount() > 0; });
  m_daemon->RequestShutdown();
  EXPECT_EQ(m_daemon->Wait(), kExitRequestsAborted);
  EXPECT_EQ(search.get().status, 503);
  ReleaseHeld();
}

}  // namespace
}  // namespace wasabihook
