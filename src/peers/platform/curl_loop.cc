#include "peers/platform/curl_loop.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wasabihook::platform {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kMaxPollMs = 1000;
// TCP keepalive detects a dead connection while a watch waits on it.
constexpr long kKeepAliveIdleSeconds = 5;
constexpr long kKeepAliveIntervalSeconds = 2;

long ToMilliseconds(Duration duration) {
  const auto ms = std::chrono::ceil<milliseconds>(duration);
  return std::max<long>(1, static_cast<long>(ms.count()));
}

void InitialiseCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (code != CURLE_OK) {
    throw std::runtime_error("curl_global_init failed");
  }
}

}  // namespace

struct CurlLoop::ActiveTransfer {
  CURL* easy = nullptr;
  Transfer transfer;
  std::string response;
  size_t max_response_bytes = 0;
  uint32_t send_attempts = 0;
  Clock::time_point started;
};

CurlLoop::CurlLoop(CurlLoopOptions options) : m_options(options) {
  InitialiseCurl();
  m_multi = curl_multi_init();
  if (m_multi == nullptr) {
    throw std::runtime_error("curl_multi_init failed");
  }
  curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(m_multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    static_cast<long>(m_options.max_connections));
  // Waiting for "100 Continue" would add a round trip to large writes.
  m_headers = curl_slist_append(m_headers, "Expect:");
  m_headers = curl_slist_append(m_headers, "Content-Type: application/json");
  m_thread = std::thread([this] { Run(); });
}

CurlLoop::~CurlLoop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  curl_multi_wakeup(m_multi);
  m_thread.join();
  curl_multi_cleanup(m_multi);
  curl_slist_free_all(m_headers);
}

void CurlLoop::Start(Transfer transfer) {
  {
    std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(transfer));
  }
  curl_multi_wakeup(m_multi);
}

void CurlLoop::Run() {
  while (StartQueued()) {
    int running = 0;
    curl_multi_perform(m_multi, &running);
    CompleteFinished();
    curl_multi_poll(m_multi, nullptr, 0, kMaxPollMs, nullptr);
  }
  AbortAll();
}

bool CurlLoop::StartQueued() {
  std::vector<Transfer> queue;
  {
    std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return false;
    }
    queue.swap(m_queue);
  }
  for (Transfer& transfer : queue) {
    if (m_active.size() >= m_options.max_concurrent_transfers) {
      transfer.done({});
    } else {
      BeginTransfer(std::move(transfer));
    }
  }
  return true;
}

void CurlLoop::BeginTransfer(Transfer transfer) {
  CURL* easy = curl_easy_init();
  if (easy == nullptr) {
    transfer.done({});
    return;
  }
  auto& active = m_active[easy];
  active = std::make_unique<ActiveTransfer>();
  active->easy = easy;
  active->transfer = std::move(transfer);
  active->max_response_bytes = m_options.max_response_bytes;
  active->started = Clock::now();
  Configure(*active);
  if (curl_multi_add_handle(m_multi, easy) != CURLM_OK) {
    CompleteTransfer(easy, CURLE_FAILED_INIT);
  }
}

void CurlLoop::Configure(ActiveTransfer& active) {
  CURL* easy = active.easy;
  const Transfer& transfer = active.transfer;
  curl_easy_setopt(easy, CURLOPT_URL, transfer.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, m_headers);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToMilliseconds(m_options.connect_timeout));
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, ToMilliseconds(transfer.timeout));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   std::max(1L, ToMilliseconds(m_options.idle_timeout) / 1000));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                   NeedsFreshConnection() ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &CurlLoop::OnSocketCreated);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &m_options);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlLoop::OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &active);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlLoop::OnPreRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &active);
  if (!transfer.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer.method.c_str());
}

bool CurlLoop::NeedsFreshConnection() const {
  return Clock::now() < m_fresh_connections_until;
}

size_t CurlLoop::OnBody(char* data, size_t size, size_t count, void* active) {
  auto& self = *static_cast<ActiveTransfer*>(active);
  if (self.response.size() + size * count > self.max_response_bytes) {
    return 0;
  }
  self.response.append(data, size * count);
  return size * count;
}

// Called before each send of the request. libcurl retries a request if a reused
// connection closes before the response arrives. For a write, the transfer is
// aborted instead, because the first attempt may have taken effect.
int CurlLoop::OnPreRequest(void* active, char*, char*, int, int) {
  auto& self = *static_cast<ActiveTransfer*>(active);
  if (self.transfer.is_write && self.send_attempts > 0) {
    return CURL_PREREQFUNC_ABORT;
  }
  self.send_attempts++;
  return CURL_PREREQFUNC_OK;
}

int CurlLoop::OnSocketCreated(void* loop_options,
                              curl_socket_t socket,
                              curlsocktype) {
  const auto& options = *static_cast<const CurlLoopOptions*>(loop_options);
  const auto timeout_ms =
      static_cast<unsigned int>(ToMilliseconds(options.idle_timeout));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
  return CURL_SOCKOPT_OK;
}

void CurlLoop::CompleteFinished() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      CompleteTransfer(message->easy_handle, message->data.result);
    }
  }
}

void CurlLoop::CompleteTransfer(CURL* easy, CURLcode code) {
  auto node = m_active.extract(easy);
  ActiveTransfer& active = *node.mapped();
  TransferResult result;
  result.elapsed =
      std::chrono::duration_cast<Duration>(Clock::now() - active.started);
  if (code == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.outcome = TransferOutcome::kResponded;
    result.response = {static_cast<int>(status), std::move(active.response)};
  } else if (active.send_attempts > 0) {
    result.outcome = TransferOutcome::kResponseLost;
    if (code == CURLE_OPERATION_TIMEDOUT) {
      m_fresh_connections_until =
          Clock::now() + m_options.idle_timeout + std::chrono::seconds(1);
    }
  }
  curl_multi_remove_handle(m_multi, easy);
  curl_easy_cleanup(easy);
  active.transfer.done(std::move(result));
}

void CurlLoop::AbortAll() {
  while (!m_active.empty()) {
    CompleteTransfer(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
  std::vector<Transfer> queue;
  {
    std::lock_guard lock(m_mutex);
    queue.swap(m_queue);
  }
  for (Transfer& transfer : queue) {
    transfer.done({});
  }
}

}  // namespace wasabihook::platform
