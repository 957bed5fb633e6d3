#include "testing/load/load_generator.h"

#include <curl/curl.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace wasabihook::load {
namespace {

using Clock = std::chrono::steady_clock;

struct Transfer {
  size_t index = 0;
  std::string body;
  curl_slist* headers = nullptr;
  ~Transfer() { curl_slist_free_all(headers); }
};

std::string BodyOf(const LoadRequest& request) {
  nlohmann::json body = {{"team", request.team},
                         {"index_set", request.index_set}};
  switch (request.kind) {
    case RequestKind::kSearch:
      body["query"] = request.payload;
      break;
    case RequestKind::kFetch:
      body["record_key"] = request.record_key;
      break;
    case RequestKind::kOperation:
      body["record_key"] = request.record_key;
      body["operation"] = request.payload;
      break;
  }
  return body.dump();
}

std::string PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSearch:
      return "/v1/search";
    case RequestKind::kFetch:
      return "/v1/fetch";
    case RequestKind::kOperation:
      return "/v1/operations";
  }
  return "/";
}

std::vector<std::string> HeadersOf(const LoadRequest& request) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  std::vector<std::string> headers = {
      "Content-Type: application/json",
      "Expect:", "X-Request-Id: " + request.id,
      "X-Deadline-Ms: " +
          std::to_string(
              duration_cast<milliseconds>(request.deadline).count())};
  if (request.kind == RequestKind::kOperation) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    headers.push_back("Idempotency-Key: " + request.idempotency_key);
    headers.push_back("Idempotency-Issued-At: " +
                      std::to_string(duration_cast<milliseconds>(now).count()));
  }
  return headers;
}

// Sends every n-th request on one thread, where n is the number of threads.
class Sender {
 public:
  Sender(const LoadGeneratorOptions& options,
         const std::vector<LoadRequest>& requests,
         std::vector<Response>& responses,
         size_t first)
      : m_options(options),
        m_requests(requests),
        m_responses(responses),
        m_next(first),
        m_multi(curl_multi_init()),
        m_timer(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
    if (m_multi == nullptr || m_timer < 0) {
      throw std::runtime_error(
          "load generator: cannot create the curl multi handle or the timer");
    }
    // Idle connections stay open, as a load balancer in front of the daemons
    // keeps them. libcurl's default limit is four times the active transfers.
    constexpr long kMaxCachedConnections = 4096;
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
  }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  ~Sender() {
    for (auto& [easy, transfer] : m_active_transfers) {
      curl_multi_remove_handle(m_multi, easy);
      curl_easy_cleanup(easy);
    }
    for (CURL* easy : m_idle_handles) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(m_multi);
    close(m_timer);
  }

  void Run() {
    while (m_next < m_requests.size() || !m_active_transfers.empty()) {
      SendDue();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      HandleCompletedTransfers();
      Wait();
    }
  }

 private:
  Duration Now() const {
    return std::chrono::duration_cast<Duration>(Clock::now() - m_options.start);
  }

  void SendDue() {
    while (m_next < m_requests.size() && m_requests[m_next].at <= Now()) {
      Send(m_next);
      m_next += m_options.threads;
    }
  }

  // Waits with a timerfd, because the timeout of curl_multi_poll() has
  // millisecond resolution only.
  void Wait() {
    curl_waitfd wake = {m_timer, CURL_WAIT_POLLIN, 0};
    unsigned int extra = 0;
    if (m_next < m_requests.size()) {
      const auto due = std::max(Duration(1), m_requests[m_next].at - Now());
      itimerspec when{};
      when.it_value.tv_sec = due.count() / 1000000;
      when.it_value.tv_nsec = due.count() % 1000000 * 1000;
      timerfd_settime(m_timer, 0, &when, nullptr);
      extra = 1;
    }
    constexpr int kMaxWaitMs = 100;
    curl_multi_poll(m_multi, &wake, extra, kMaxWaitMs, nullptr);
  }

  void Send(size_t index) {
    const LoadRequest& request = m_requests[index];
    Response& response = m_responses[index];
    response.instance = request.instance >= 0
                            ? static_cast<size_t>(request.instance)
                            : m_options.balance();
    auto transfer = std::make_unique<Transfer>();
    transfer->index = index;
    transfer->body = BodyOf(request);
    for (const std::string& header : HeadersOf(request)) {
      transfer->headers = curl_slist_append(transfer->headers, header.c_str());
    }
    CURL* easy = AcquireHandle();
    const std::string url = "http://" +
                            m_options.instances.at(response.instance) +
                            PathOf(request.kind);
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.deadline + m_options.grace_period);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(transfer->body.size()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Sender::AppendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(limit.count()));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    response.sent = Now();
    curl_multi_add_handle(m_multi, easy);
    m_active_transfers[easy] = std::move(transfer);
  }

  CURL* AcquireHandle() {
    if (!m_idle_handles.empty()) {
      CURL* easy = m_idle_handles.back();
      m_idle_handles.pop_back();
      curl_easy_reset(easy);
      return easy;
    }
    CURL* easy = curl_easy_init();
    if (easy == nullptr) {
      throw std::runtime_error("curl_easy_init failed");
    }
    return easy;
  }

  void HandleCompletedTransfers() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      if (message->msg == CURLMSG_DONE) {
        CURL* easy = message->easy_handle;
        const CURLcode code = message->data.result;
        Finish(easy, code);
      }
    }
  }

  void Finish(CURL* easy, CURLcode code) {
    auto found = m_active_transfers.find(easy);
    Response& response = m_responses[found->second->index];
    response.done = Now();
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      response.status = static_cast<int>(status);
    } else {
      response.body.clear();
      response.failure = curl_easy_strerror(code);
    }
    curl_multi_remove_handle(m_multi, easy);
    m_active_transfers.erase(found);
    m_idle_handles.push_back(easy);
  }

  static size_t AppendBody(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
  }

  const LoadGeneratorOptions& m_options;
  const std::vector<LoadRequest>& m_requests;
  std::vector<Response>& m_responses;
  size_t m_next;
  CURLM* m_multi;
  int m_timer;
  std::map<CURL*, std::unique_ptr<Transfer>> m_active_transfers;
  std::vector<CURL*> m_idle_handles;
};

}  // namespace

std::vector<Response> RunLoad(const LoadGeneratorOptions& options,
                              const std::vector<LoadRequest>& requests) {
  std::vector<Response> responses(requests.size());
  std::vector<std::unique_ptr<Sender>> senders;
  for (size_t i = 0; i < options.threads; ++i) {
    senders.push_back(
        std::make_unique<Sender>(options, requests, responses, i));
  }
  std::vector<std::thread> threads;
  threads.reserve(senders.size());
  for (auto& sender : senders) {
    threads.emplace_back([&sender] { sender->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return responses;
}

}  // namespace wasabihook::load
