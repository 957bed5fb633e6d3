#include "testing/load/load_generator.h"

#include <gtest/gtest.h>

#include <chrono>
#include <mutex>
#include <vector>

#include "runtime/http_listener.h"

namespace wasabihook::load {
namespace {

constexpr size_t kRequests = 20;

// Guards against a generator that waits for a response before it sends the next
// request. The server responds only after all requests have arrived.
TEST(LoadGenerator, SendsWithoutWaitingForAnswers) {
  std::mutex mutex;
  std::vector<HttpResponder> waiting;
  HttpListener server(HttpListenerOptions(), [&](const HttpRequest& /*request*/,
                                                 HttpResponder responder) {
    std::vector<HttpResponder> ready;
    {
      const std::lock_guard lock(mutex);
      waiting.push_back(std::move(responder));
      if (waiting.size() == kRequests) {
        ready.swap(waiting);
      }
    }
    for (const HttpResponder& respond : ready) {
      respond({.status = 200, .body = "{}"});
    }
  });
  std::vector<LoadRequest> requests(kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    requests[i].id = "r" + std::to_string(i);
    requests[i].at = std::chrono::milliseconds(i);
    requests[i].deadline = std::chrono::seconds(30);
  }
  LoadGeneratorOptions options;
  options.instances = {server.address()};
  options.balance = [] { return size_t{0}; };
  options.start = std::chrono::steady_clock::now();
  const std::vector<Response> responses = RunLoad(options, requests);
  ASSERT_EQ(responses.size(), kRequests);
  for (size_t i = 0; i < kRequests; ++i) {
    EXPECT_EQ(responses[i].status, 200) << responses[i].failure;
    EXPECT_GE(responses[i].sent, requests[i].at);
    EXPECT_EQ(responses[i].body, "{}");
  }
}

}  // namespace
}  // namespace wasabihook::load
