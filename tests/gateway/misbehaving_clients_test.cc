// Crowds of clients that don't behave, against a gateway process with the
// memory and the descriptors of a small machine. Each test guards against a
// process that ends, or grows beyond its machine, or serves nobody else.
//
// In the environment, GATEWAY_PROGRAM names another program to test, such as an
// earlier build, and GATEWAY_LOG a file for its log.

#include <gtest/gtest.h>
#include <signal.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "client_crowd.h"
#include "platform/testing/documents.h"
#include "platform/testing/fakes.h"

extern char** environ;

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeBackendServer;
using testing::FakeCaller;
using testing::FakeStoreServer;
using testing::RunUntil;

// The machine. The default limits on callers hold: 16 kB of head, 256 kB of
// body.
constexpr size_t kMemoryMb = 48;
constexpr size_t kMaxDescriptors = 400;
// Descriptors that must stay free for servers, the store and files.
constexpr size_t kFreeDescriptors = 50;
// The crowds.
constexpr size_t kClients = 300;
constexpr size_t kManyClients = 600;
constexpr size_t kBodyBytes = 250'000;
constexpr size_t kShards = 8;
constexpr Duration kPatience = seconds(60);

// Where a crowd sends to.
enum class Door : uint8_t { kRoute, kNoRoute, kReadiness };

std::string NameOf(const ::testing::TestParamInfo<Door>& info) {
  switch (info.param) {
    case Door::kRoute:
      return "Route";
    case Door::kNoRoute:
      return "NoRoute";
    case Door::kReadiness:
      return "Readiness";
  }
  return "";
}

class MisbehavingClientsTest : public ::testing::TestWithParam<Door> {
 protected:
  MisbehavingClientsTest() : m_store(&m_loop) {
    std::vector<std::string> shards;
    std::map<std::string, uint32_t> connections;
    for (size_t i = 0; i < kShards; ++i) {
      shards.push_back("shard" + std::to_string(i));
      connections[shards.back()] = 4;
      AddServer("s" + std::to_string(i), shards.back(), std::string(16, 'a'));
    }
    AddServer("w", "writes", "done");
    connections["writes"] = 4;
    testing::RouteDocument search;
    search.name = "search";
    search.path_prefix = "/search/";
    search.timeout = milliseconds(20000);
    search.objective = milliseconds(2000);
    search.shards = shards;
    search.top_records = 3;
    search.min_shard_share = 0.5;
    testing::RouteDocument write;
    write.name = "write";
    write.path_prefix = "/write/";
    write.timeout = milliseconds(20000);
    write.objective = milliseconds(2000);
    write.service = "writes";
    testing::PutConfiguration(m_store, 1, {search, write}, connections);
    m_folder = std::filesystem::temp_directory_path() /
               ("misbehaving-clients-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_folder);
  }

  ~MisbehavingClientsTest() override {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
    std::filesystem::remove_all(m_folder);
  }

  void SetUp() override {
    StartProcess();
    constexpr int kTries = 100;
    bool started = false;
    for (int i = 0; i < kTries && !started; ++i) {
      started = AnswersOrdinaryRequest();
      if (!started)
        RunUntil(
            m_loop, [] { return false; }, milliseconds(100));
    }
    ASSERT_TRUE(started);
  }

  void AddServer(const std::string& id,
                 const std::string& service,
                 const std::string& body) {
    m_servers.push_back(std::make_unique<FakeBackendServer>(&m_loop, id, body));
    m_store.Put("servers/" + id, m_servers.back()->Entry(service));
  }

  void StartProcess() {
    const std::string config = m_folder / "gateway.toml";
    std::ofstream(config)
        << "[instance]\nid = \"gateway-1\"\ndata_centre = \"a\"\n"
        << "[listen]\ncaller = \"" << m_door << "\"\nreadiness = \""
        << m_readiness << "\"\n[store]\naddress = \"" << m_store.address()
        << "\"\n[limits]\nmemory_mb = " << kMemoryMb
        << "\nmax_fds = " << kMaxDescriptors << "\n";
    const char* other = std::getenv("GATEWAY_PROGRAM");
    std::string program = other != nullptr ? other : GATEWAY_PROGRAM_PATH;
    std::string option = "--config";
    std::string path = config;
    std::array<char*, 4> arguments = {program.data(), option.data(),
                                      path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     std::getenv("GATEWAY_LOG") != nullptr
                                         ? std::getenv("GATEWAY_LOG")
                                         : "/dev/null",
                                     O_WRONLY | O_CREAT, 0644);
    ASSERT_EQ(posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                          arguments.data(), environ),
              0);
    posix_spawn_file_actions_destroy(&actions);
    const rlimit descriptors = {kMaxDescriptors, kMaxDescriptors};
    ASSERT_EQ(prlimit(m_pid, RLIMIT_NOFILE, &descriptors, nullptr), 0);
  }

  // Sends a request of another client and waits for its answer.
  bool AnswersOrdinaryRequest() {
    FakeCaller caller(&m_loop, m_door);
    caller.Send(testing::RequestHead("GET /search/x",
                                     "o" + std::to_string(++m_requests),
                                     milliseconds(20000)));
    RunUntil(
        m_loop, [&caller] { return caller.done(); }, seconds(20));
    if (!caller.done()) {
      m_ordinary = "no answer";
      return false;
    }
    m_ordinary = "outcome " +
                 std::to_string(static_cast<int>(caller.reply().outcome)) +
                 ", status " + std::to_string(caller.reply().status);
    return caller.reply().status == 200;
  }

  bool IsAlive() { return waitpid(m_pid, nullptr, WNOHANG) == 0; }

  size_t PeakMemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string word;
    size_t kilobytes = 0;
    while (status >> word) {
      if (word == "VmHWM:")
        status >> kilobytes;
    }
    return kilobytes / 1024;
  }

  size_t Descriptors() const {
    size_t out = 0;
    const std::string folder = "/proc/" + std::to_string(m_pid) + "/fd";
    for ([[maybe_unused]] const auto& entry :
         std::filesystem::directory_iterator(folder))
      ++out;
    return out;
  }

  std::string Head(const std::string& fields) const {
    const std::string path = GetParam() == Door::kRoute     ? "/write/x"
                             : GetParam() == Door::kNoRoute ? "/none/x"
                                                            : "/v1/ready";
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c\r\n"
           "X-Deadline-Ms: 20000\r\n" +
           fields + "\r\n";
  }

  void Play(size_t clients, const ClientPlan& plan) {
    ClientCrowd crowd(GetParam() == Door::kReadiness ? m_readiness : m_door,
                      "127.0.0.3", clients, plan);
    RunUntil(
        m_loop, [&crowd] { return crowd.Step(); }, kPatience);
    ASSERT_TRUE(IsAlive());
    EXPECT_LE(Descriptors(), kMaxDescriptors - kFreeDescriptors);
    // The crowd is still there.
    EXPECT_TRUE(AnswersOrdinaryRequest()) << m_ordinary;
    ASSERT_TRUE(IsAlive());
    EXPECT_LE(PeakMemoryMb(), kMemoryMb);
  }

  EventLoop m_loop;
  FakeStoreServer m_store;
  std::vector<std::unique_ptr<FakeBackendServer>> m_servers;
  std::filesystem::path m_folder;
  const std::string m_door =
      "127.0.0.2:" + std::to_string(21000 + getpid() % 9000);
  const std::string m_readiness =
      "127.0.0.4:" + std::to_string(21000 + getpid() % 9000);
  pid_t m_pid = -1;
  int m_requests = 0;
  // What the last ordinary request got.
  std::string m_ordinary;
};

INSTANTIATE_TEST_SUITE_P(Doors,
                         MisbehavingClientsTest,
                         ::testing::Values(Door::kRoute,
                                           Door::kNoRoute,
                                           Door::kReadiness),
                         &NameOf);

TEST_P(MisbehavingClientsTest, BodiesInOnePieceThatStopShort) {
  Play(kClients,
       {.bytes =
            Head("Content-Length: " + std::to_string(kBodyBytes + 1) + "\r\n") +
            std::string(kBodyBytes, 'b')});
}

TEST_P(MisbehavingClientsTest, BodiesInSmallPiecesThatStopShort) {
  Play(kClients,
       {.bytes =
            Head("Content-Length: " + std::to_string(kBodyBytes + 1) + "\r\n") +
            std::string(kBodyBytes, 'b'),
        .piece = 4096});
}

TEST_P(MisbehavingClientsTest, BodiesInChunksWithoutTheLast) {
  std::string bytes = Head("Transfer-Encoding: chunked\r\n");
  for (size_t sent = 0; sent < kBodyBytes; sent += 500)
    bytes += "1f4\r\n" + std::string(500, 'b') + "\r\n";
  Play(kClients, {.bytes = std::move(bytes)});
}

TEST_P(MisbehavingClientsTest, BodiesFarOverTheLimit) {
  Play(kClients, {.bytes = Head("Content-Length: 4000000\r\n") +
                           std::string(3'999'999, 'b')});
}

TEST_P(MisbehavingClientsTest, VeryManyShortFields) {
  std::string fields = "Content-Length: 200000\r\n";
  while (fields.size() < 15'000)
    fields += "a:\r\n";
  Play(kClients, {.bytes = Head(fields) + std::string(100'000, 'b')});
}

TEST_P(MisbehavingClientsTest, RequestsSentAheadWithoutReading) {
  Play(kClients,
       {.bytes = Head("Content-Length: 20000\r\n") + std::string(20'000, 'b'),
        .copies = 50});
}

TEST_P(MisbehavingClientsTest, HeadsThatStopHalfWay) {
  Play(kManyClients, {.bytes = "POST /write/x HTTP/1.1\r\nHost: h.exam"});
}

TEST_P(MisbehavingClientsTest, SlowHeads) {
  Play(kManyClients, {.bytes = Head(""), .piece = 1});
}

// The body of a query is passed on to each shard.
TEST_P(MisbehavingClientsTest, WholeBodiesForAllShards) {
  std::string head =
      Head("Content-Length: " + std::to_string(kBodyBytes) + "\r\n");
  if (const size_t at = head.find("/write/x"); at != std::string::npos)
    head.replace(at, 8, "/search/");
  Play(kClients, {.bytes = head + std::string(kBodyBytes, 'b')});
}

}  // namespace
}  // namespace wasabihook::gateway
