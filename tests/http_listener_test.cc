#include "runtime/http_listener.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace wasabihook {
namespace {

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

Result Post(const std::string& url,
            const std::string& body,
            const std::string& header = "") {
  Result result;
  CURL* curl = curl_easy_init();
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  if (!header.empty())
    headers = curl_slist_append(headers, header.c_str());
  curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.data());
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.body);
  curl_easy_setopt(curl, CURLOPT_TIMEOUT, 60L);
  result.code = curl_easy_perform(curl);
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &result.status);
  curl_slist_free_all(headers);
  curl_easy_cleanup(curl);
  return result;
}

// Stores responders until the test calls them.
class PendingResponders {
 public:
  HttpHandler Handler() {
    return [this](HttpRequest, HttpResponder responder) {
      std::lock_guard lock(m_mutex);
      m_responders.push_back(std::move(responder));
      m_changed.notify_all();
    };
  }
  bool WaitFor(size_t count) {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, seconds(60),
                              [&] { return m_responders.size() >= count; });
  }
  std::vector<HttpResponder> Take() {
    std::lock_guard lock(m_mutex);
    return std::move(m_responders);
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<HttpResponder> m_responders;
};

std::string Url(const HttpListener& listener, const std::string& path) {
  return "http://" + listener.address() + path;
}

// Guards against loss of the path, query arguments, headers or body of a
// request.
TEST(HttpListener, TransfersRequestAndResponse) {
  HttpListener listener({}, [](HttpRequest request, HttpResponder responder) {
    responder({.status = 201,
               .body = request.method + " " + request.path + " " +
                       request.QueryArgument("k").value_or("-") + " " +
                       request.Header("x-name").value_or("-") + " " +
                       request.body});
  });
  const Result result =
      Post(Url(listener, "/a%20b?k=v%2F1"), "body", "X-Name: n");
  EXPECT_EQ(result.status, 201);
  EXPECT_EQ(result.body, "POST /a b v/1 n body");
}

// Guards against pending requests that each occupy a listener thread.
TEST(HttpListener, PendingRequestsOccupyNoThread) {
  constexpr size_t kRequests = 16;
  PendingResponders pending;
  HttpListener listener({.threads = 2}, pending.Handler());
  std::vector<std::future<Result>> results;
  for (size_t i = 0; i < kRequests; ++i) {
    results.push_back(std::async(
        std::launch::async, [&] { return Post(Url(listener, "/"), "x"); }));
  }
  ASSERT_TRUE(pending.WaitFor(kRequests));
  EXPECT_EQ(listener.in_flight(), kRequests);
  std::vector<HttpResponder> responders = pending.Take();
  for (size_t i = 0; i < kRequests; ++i)
    responders[i]({.body = "ok"});
  for (auto& result : results)
    EXPECT_EQ(result.get().body, "ok");
}

// Guards against a caller that waits forever because the responder was
// destroyed without a call.
TEST(HttpListener, DestroyedResponderSends500) {
  HttpListener listener({}, [](HttpRequest, HttpResponder) {});
  EXPECT_EQ(Post(Url(listener, "/"), "x").status, 500);
}

// Guards against a second response that is sent to another request.
TEST(HttpListener, SecondResponseIsIgnored) {
  HttpListener listener({}, [](HttpRequest, HttpResponder responder) {
    responder({.body = "first"});
    responder({.body = "second"});
  });
  for (int i = 0; i < 5; ++i)
    EXPECT_EQ(Post(Url(listener, "/"), "x").body, "first");
}

HttpHandler RefusedStatusHandler() {
  return [](HttpRequest request, HttpResponder responder) {
    responder({.status = request.refused_status.value_or(200),
               .body = std::to_string(request.body.size())});
  };
}

// Guards against oversized bodies that are buffered, or accepted in truncated
// form.
TEST(HttpListener, RefusesOversizedBody) {
  HttpListener listener({.max_body_bytes = 1000}, RefusedStatusHandler());
  EXPECT_EQ(Post(Url(listener, "/"), std::string(1000, 'x')).body, "1000");
  const Result refused = Post(Url(listener, "/"), std::string(1001, 'x'));
  EXPECT_EQ(refused.status, 413);
  EXPECT_EQ(refused.body, "0");
}

// Guards against oversized headers that are accepted.
TEST(HttpListener, RefusesOversizedHeaders) {
  HttpListener listener({.max_header_bytes = 4096}, RefusedStatusHandler());
  EXPECT_EQ(
      Post(Url(listener, "/"), "x", "X-A: " + std::string(3000, 'a')).status,
      200);
  EXPECT_EQ(
      Post(Url(listener, "/"), "x", "X-A: " + std::string(5000, 'a')).status,
      431);
  // libmicrohttpd itself rejects headers that exceed the connection's memory
  // pool.
  EXPECT_EQ(
      Post(Url(listener, "/"), "x", "X-A: " + std::string(60000, 'a')).status,
      431);
}

int Connect(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)), 0);
  return fd;
}

// Guards against slow senders that keep connections open indefinitely.
TEST(HttpListener, ClosesConnectionOfSlowSender) {
  HttpListener listener({.idle_timeout = seconds(1)}, RefusedStatusHandler());
  const int fd = Connect(listener.address());
  const std::string part = "POST / HTTP/1.1\r\nHost: x\r\nContent-Le";
  ASSERT_EQ(write(fd, part.data(), part.size()),
            static_cast<ssize_t>(part.size()));
  char byte = 0;
  while (read(fd, &byte, 1) > 0) {
  }
  close(fd);
  EXPECT_EQ(listener.in_flight(), 0U);
}

// Guards against Stop() aborting a response in flight.
TEST(HttpListener, StopWaitsForResponsesInFlight) {
  PendingResponders pending;
  HttpListener listener({}, pending.Handler());
  auto result = std::async(std::launch::async,
                           [&] { return Post(Url(listener, "/"), "x"); });
  ASSERT_TRUE(pending.WaitFor(1));
  auto stop = std::async(std::launch::async,
                         [&] { return listener.Stop(seconds(60)); });
  const std::string large(4'000'000, 'y');
  pending.Take().front()({.body = large});
  EXPECT_EQ(stop.get(), 0U);
  EXPECT_TRUE(result.get().body == large);
}

// Guards against Stop() not returning while a request is pending, and against a
// crash when its responder is called afterwards.
TEST(HttpListener, StopAtItsLimitSends503) {
  PendingResponders pending;
  HttpListener listener({}, pending.Handler());
  auto result = std::async(std::launch::async,
                           [&] { return Post(Url(listener, "/"), "x"); });
  ASSERT_TRUE(pending.WaitFor(1));
  EXPECT_EQ(listener.Stop(Duration(0)), 1U);
  EXPECT_EQ(result.get().status, 503);
  pending.Take().front()({.body = "late"});
}

// Guards against the loss of a connection in the listen backlog.
TEST(HttpListener, StopServesRequestSentBefore) {
  HttpListener listener({.threads = 1}, RefusedStatusHandler());
  const int fd = Connect(listener.address());
  const std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  ASSERT_EQ(write(fd, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  listener.Stop(seconds(60));
  char buffer[12] = {};
  EXPECT_EQ(recv(fd, buffer, sizeof(buffer), MSG_WAITALL), 12);
  EXPECT_EQ(std::string(buffer, 12), "HTTP/1.1 200");
  close(fd);
}

// Guards against work that continues after the caller closed its connection.
TEST(HttpListener, CallsCloseCallbackWhenCallerCloses) {
  std::promise<void> closed;
  std::promise<HttpResponder> kept;
  HttpListener listener({}, [&](HttpRequest request, HttpResponder responder) {
    request.set_close_callback([&] { closed.set_value(); });
    kept.set_value(std::move(responder));
  });
  const int fd = Connect(listener.address());
  const std::string request =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  ASSERT_EQ(write(fd, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  HttpResponder responder = kept.get_future().get();
  close(fd);
  EXPECT_EQ(closed.get_future().wait_for(seconds(60)),
            std::future_status::ready);
  responder({});
}

// Guards against a close callback that is called although the caller received
// its response.
TEST(HttpListener, CloseCallbackIsNotCalledAfterResponse) {
  std::atomic<int> closed{0};
  HttpListener listener({}, [&](HttpRequest request, HttpResponder responder) {
    request.set_close_callback([&] { ++closed; });
    responder({.body = "ok"});
  });
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(Post(Url(listener, "/"), "x").body, "ok");
  EXPECT_EQ(closed, 0);
}

// Guards against a listener that starts with an invalid address or one that is
// in use.
TEST(HttpListener, InvalidAddressThrows) {
  for (const char* address : {"", "nonsense", "127.0.0.1", "127.0.0.1:x",
                              "127.0.0.1:70000", "localhost:1"})
    EXPECT_THROW(HttpListener({.address = address}, RefusedStatusHandler()),
                 std::runtime_error)
        << address;
  HttpListener first({}, RefusedStatusHandler());
  EXPECT_THROW(
      HttpListener({.address = first.address()}, RefusedStatusHandler()),
      std::runtime_error);
}

// Guards against an abort during Stop(): libmicrohttpd aborts the process if
// two threads remove the listening socket from its epoll set.
TEST(HttpListener, StopsManyTimesUnderLoad) {
  for (int round = 0; round < 200; ++round) {
    HttpListener listener({.threads = 2},
                          [](HttpRequest, HttpResponder responder) {
                            responder({.status = 200, .body = "ok"});
                          });
    std::atomic<bool> stop{false};
    std::thread load([&listener, &stop] {
      while (!stop)
        Post("http://" + listener.address() + "/", "x");
    });
    listener.Stop(Duration(0));
    stop = true;
    load.join();
  }
}

}  // namespace
}  // namespace wasabihook
