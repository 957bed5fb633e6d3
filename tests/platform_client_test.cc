#include "peers/platform/http_platform_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

#include "runtime/socket_address.h"
#include "runtime/thread_timer_service.h"
#include "testing/fake_platform.h"
#include "testing/fake_platform_server.h"

namespace wasabihook::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Result, typename Call>
Result Await(Call call) {
  auto promise = std::make_shared<std::promise<Result>>();
  auto result = promise->get_future();
  call([promise](Result r) { promise->set_value(std::move(r)); });
  return result.get();
}

PlatformClientOptions OptionsFor(const std::string& address) {
  PlatformClientOptions options;
  options.address = address;
  return options;
}

class PlatformClientTest : public ::testing::Test {
 protected:
  ~PlatformClientTest() override {
    server.Stop();
    timers.reset();
  }
  WriteResult Write(const std::string& key,
                    Revision expected,
                    const std::string& value) {
    return Await<WriteResult>(
        [&](auto done) { client.CompareAndSwap(key, expected, value, done); });
  }
  ListResult List(std::optional<Revision> newer_than, Duration wait) {
    return Await<ListResult>(
        [&](auto done) { client.List("p/", newer_than, wait, done); });
  }

  std::unique_ptr<ThreadTimerService> timers =
      std::make_unique<ThreadTimerService>();
  testing::FakePlatform platform{timers.get(), MakeRandomSource(1)};
  testing::FakePlatformServer server{&platform, "127.0.0.1:0"};
  HttpPlatformClient client{OptionsFor(server.address())};
};

// Guards against keys, values or statuses that are altered in transit.
TEST_F(PlatformClientTest, ReadsAndWrites) {
  const std::string key = "p/a b%2F?x=\xC3\xA9";
  const std::string value = "line\n\"quoted\" \xE2\x82\xAC";
  const WriteResult created = Write(key, Revision(0), value);
  ASSERT_EQ(created.status, StoreStatus::kOk);
  const WriteResult conflict = Write(key, Revision(0), "2");
  EXPECT_EQ(conflict.status, StoreStatus::kConflict);
  ASSERT_TRUE(conflict.current.has_value());
  EXPECT_EQ(conflict.current->value, value);
  const auto get = [&](const std::string& k) {
    return Await<GetResult>([&](auto done) { client.Get(k, done); });
  };
  EXPECT_EQ(get(key).entry.value, value);
  EXPECT_EQ(get("p/none").status, StoreStatus::kNotFound);
  const ListResult list = List(std::nullopt, Duration(0));
  ASSERT_EQ(list.entries.size(), 1U);
  EXPECT_EQ(list.entries[0].revision, created.revision);
  EXPECT_EQ(Await<WriteResult>([&](auto done) {
              client.Delete(key, created.revision, done);
            }).status,
            StoreStatus::kOk);
  EXPECT_EQ(Write("p/b", Revision(0), std::string(1 << 20, 'x')).status,
            StoreStatus::kOk);
  EXPECT_EQ(Write("p/c", Revision(0), std::string((1 << 20) + 1, 'x')).status,
            StoreStatus::kTooLarge);
  EXPECT_THROW(Write("p/d", Revision(0), "\xFF"), std::invalid_argument);
  EXPECT_EQ(client.Count(CallKind::kWrite, StoreStatus::kConflict), 1U);
}

// Guards against a watch that misses a change.
TEST_F(PlatformClientTest, WatchReturnsOnChange) {
  const Revision first = Write("p/a", Revision(0), "1").revision;
  auto watched =
      std::async(std::launch::async, [&] { return List(first, seconds(60)); });
  while (platform.Stats().count(testing::PlatformCall::kWatch) == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  Write("p/a", first, "2");
  const ListResult result = watched.get();
  ASSERT_EQ(result.entries.size(), 1U);
  EXPECT_EQ(result.entries[0].value, "2");
  EXPECT_EQ(List(result.store_revision, milliseconds(1)).status,
            StoreStatus::kOk);
}

// Guards against instance entries that are altered in transit.
TEST_F(PlatformClientTest, AnnouncesInstances) {
  const ListedInstance self{InstanceId("i 1"), "127.0.0.1:9",
                            DataCentreId("bay-a"), Incarnation(~0ULL),
                            ListedState::kLeaving};
  EXPECT_EQ(Await<StoreStatus>([&](auto done) { client.Announce(self, done); }),
            StoreStatus::kOk);
  const auto list =
      Await<InstanceListResult>([&](auto done) { client.ListInstances(done); });
  ASSERT_EQ(list.instances.size(), 1U);
  EXPECT_EQ(list.instances[0].id, self.id);
  EXPECT_EQ(list.instances[0].incarnation, self.incarnation);
  EXPECT_EQ(list.instances[0].state, ListedState::kLeaving);
}

// Guards against a write whose response was lost being reported as without
// effect, and a rejected write being reported as unknown.
TEST_F(PlatformClientTest, DistinguishesLostResponseFromRejectedWrite) {
  platform.SetFaults({.lose_write_responses = 1});
  EXPECT_EQ(Write("p/a", Revision(0), "1").status, StoreStatus::kUnknown);
  EXPECT_EQ(platform.Contents("p/").size(), 1U);
  platform.SetFaults({.down = true});
  EXPECT_EQ(Write("p/b", Revision(0), "1").status, StoreStatus::kUnavailable);
  EXPECT_EQ(platform.Contents("p/").size(), 1U);
}

// Sends one of `replies` to each request, in order; an empty reply closes the
// connection. Counts the requests.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::vector<std::string> replies)
      : m_replies(std::move(replies)),
        m_socket(OpenListenSocket("127.0.0.1:0")),
        m_address(BoundAddress(m_socket)),
        m_thread([this] { Run(); }) {}
  ~ScriptedServer() {
    m_stopping = true;
    m_thread.join();
    close(m_socket);
  }
  const std::string& address() const { return m_address; }
  int requests() const { return m_requests; }

 private:
  void Run() {
    while (!m_stopping) {
      const int connection = accept(m_socket, nullptr, nullptr);
      if (connection < 0) {
        std::this_thread::sleep_for(milliseconds(1));
        continue;
      }
      timeval timeout{.tv_sec = 0, .tv_usec = 10'000};
      setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                 sizeof(timeout));
      while (!m_stopping && ServeOne(connection)) {
      }
      close(connection);
    }
  }
  // Returns false if the connection should be closed.
  bool ServeOne(int connection) {
    std::string received;
    std::array<char, 4096> buffer{};
    while (received.find("\r\n\r\n") == std::string::npos) {
      const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
      if (size == 0 || m_stopping) {
        return false;
      }
      received.append(buffer.data(), size > 0 ? size : 0);
    }
    const size_t request = m_requests++;
    if (request >= m_replies.size() || m_replies[request].empty()) {
      return false;
    }
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(m_replies[request].size()) +
                              "\r\n\r\n" + m_replies[request];
    send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
    return true;
  }

  const std::vector<std::string> m_replies;
  const int m_socket;
  const std::string m_address;
  std::atomic<int> m_requests{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

// Guards against libcurl resending a write on a new connection when a reused
// connection closes without a response: the first attempt may have taken
// effect.
TEST(PlatformClientConnectionTest, NeverSendsAWriteTwice) {
  for (const bool is_delete : {false, true}) {
    ScriptedServer server(
        {R"({"key":"k","revision":1})", "", R"({"key":"k","revision":2})"});
    HttpPlatformClient client(OptionsFor(server.address()));
    const auto write = [&] {
      return Await<WriteResult>([&](auto done) {
        if (is_delete) {
          client.Delete("k", Revision(1), done);
        } else {
          client.CompareAndSwap("k", Revision(1), "v", done);
        }
      });
    };
    EXPECT_EQ(write().status, StoreStatus::kOk);
    EXPECT_EQ(write().status, StoreStatus::kUnknown);
    EXPECT_EQ(server.requests(), 2);
  }
}

// Guards against kUnknown being reported when no byte reached the store.
TEST(PlatformClientConnectionTest, RefusedConnectionIsUnavailable) {
  const int socket = OpenListenSocket("127.0.0.1:0");
  const std::string address = BoundAddress(socket);
  close(socket);
  HttpPlatformClient client(OptionsFor(address));
  EXPECT_EQ(Await<WriteResult>([&](auto done) {
              client.CompareAndSwap("k", Revision(0), "v", done);
            }).status,
            StoreStatus::kUnavailable);
}

// Guards against calls that never complete when the store does not respond or
// the client is destroyed, and against a timed-out write being reported as
// without effect.
TEST(PlatformClientConnectionTest, UnresponsiveStoreGivesUnknown) {
  const int socket = OpenListenSocket("127.0.0.1:0");
  PlatformClientOptions options = OptionsFor(BoundAddress(socket));
  options.call_timeout = milliseconds(50);
  auto client = std::make_unique<HttpPlatformClient>(options);
  EXPECT_EQ(Await<WriteResult>([&](auto done) {
              client->CompareAndSwap("k", Revision(0), "v", done);
            }).status,
            StoreStatus::kUnknown);
  std::promise<ListResult> ended;
  client->List("k", Revision(1), seconds(600),
               [&](ListResult result) { ended.set_value(std::move(result)); });
  client.reset();
  EXPECT_NE(ended.get_future().get().status, StoreStatus::kOk);
  close(socket);
}

}  // namespace
}  // namespace wasabihook::platform
