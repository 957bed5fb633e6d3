#include "runtime/http_listener.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <vector>

#include "runtime/close_watcher.h"
#include "runtime/mhd_message.h"
#include "runtime/socket_address.h"

namespace wasabihook {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kServiceUnavailable = 503;
// Bytes of each connection's memory pool in addition to the request headers:
// read buffer, response headers and libmicrohttpd's internal data.
constexpr size_t kConnectionOverheadBytes = 16'384;
// Oversized bodies up to this multiple of the limit are read and discarded:
// closing a socket with unread data would reset the connection before the
// caller reads the error response.
constexpr uint64_t kMaxDiscardedBodyFactor = 8;
// Maximum time that a daemon thread blocks in poll(), in milliseconds; bounds
// the delay of connection timeouts.
constexpr int kMaxPollMs = 500;

// Runs one libmicrohttpd daemon on a dedicated thread. Only this thread runs or
// quiesces the daemon: the library aborts the process if another thread removes
// the listening socket from an epoll set on which the daemon's thread is
// waiting.
class MhdDaemonThread {
 public:
  // Takes ownership of `daemon`.
  explicit MhdDaemonThread(MHD_Daemon* daemon)
      : m_daemon(daemon), m_wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    m_thread = std::thread([this] { Run(); });
  }
  ~MhdDaemonThread() {
    Stop();
    close(m_wake_fd);
  }
  MhdDaemonThread(const MhdDaemonThread&) = delete;
  MhdDaemonThread& operator=(const MhdDaemonThread&) = delete;

  // Stops accepting connections; those in the listen backlog are still served.
  void Quiesce() {
    m_quiesce = true;
    Wake();
  }
  // Makes the thread process its connections. Resuming a connection while the
  // library is running does not wake the thread.
  void Wake() {
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t written =
        write(m_wake_fd, &one, sizeof(one));
  }
  // Joins the thread and stops the daemon. No connection may be suspended.
  void Stop() {
    if (!m_thread.joinable())
      return;
    m_stop = true;
    Wake();
    m_thread.join();
    MHD_stop_daemon(m_daemon);
  }

 private:
  void Run() {
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
    pollfd fds[] = {{.fd = info->epoll_fd, .events = POLLIN, .revents = 0},
                    {.fd = m_wake_fd, .events = POLLIN, .revents = 0}};
    while (!m_stop) {
      poll(fds, 2, PollTimeoutMs());
      uint64_t count = 0;
      [[maybe_unused]] const ssize_t drained =
          read(m_wake_fd, &count, sizeof(count));
      if (m_quiesce.exchange(false))
        AcceptBacklog();
      MHD_run(m_daemon);
    }
  }

  int PollTimeoutMs() const {
    MHD_UNSIGNED_LONG_LONG millis = 0;
    if (MHD_get_timeout(m_daemon, &millis) != MHD_YES)
      return kMaxPollMs;
    return static_cast<int>(
        std::min<MHD_UNSIGNED_LONG_LONG>(millis, kMaxPollMs));
  }

  // Accepts the connections in the listen backlog before closing the socket;
  // closing it first would reset them.
  void AcceptBacklog() {
    const int fd = MHD_quiesce_daemon(m_daemon);
    if (fd < 0)
      return;
    while (true) {
      sockaddr_storage peer{};
      socklen_t length = sizeof(peer);
      auto* address = reinterpret_cast<sockaddr*>(&peer);
      const int accepted =
          accept4(fd, address, &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (accepted < 0)
        break;
      MHD_add_connection(m_daemon, accepted, address, length);
    }
    close(fd);
  }

  MHD_Daemon* const m_daemon;
  const int m_wake_fd;
  std::atomic<bool> m_quiesce{false};
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(HttpListenerOptions options, HttpHandler handler)
      : m_options(std::move(options)), m_handler(std::move(handler)) {}

  void Start();
  size_t Stop(Duration limit);

  const std::string& address() const { return m_address; }
  size_t in_flight() const {
    std::lock_guard lock(m_mutex);
    return m_exchanges.size();
  }
  void CloseAfterResponse() { m_close_after_response = true; }

 private:
  // One request and its response. Shared by the connection and the responder.
  struct Exchange {
    MHD_Connection* connection = nullptr;
    HttpRequest request;
    Clock::time_point started = Clock::now();
    uint64_t received = 0;
    std::mutex mutex;
    bool dispatched = false;  // Written by the connection's thread only.
    bool responded = false;
    std::optional<uint64_t> close_watch;
    HttpResponse response;
  };
  using ExchangePtr = std::shared_ptr<Exchange>;

  // Sends status 500 if the last copy of a responder is destroyed without a
  // response.
  struct ResponderState {
    ResponderState(std::shared_ptr<Impl> impl_in, ExchangePtr exchange_in)
        : impl(std::move(impl_in)), exchange(std::move(exchange_in)) {}
    ResponderState(const ResponderState&) = delete;
    ResponderState& operator=(const ResponderState&) = delete;
    std::shared_ptr<Impl> impl;
    ExchangePtr exchange;
    ~ResponderState() {
      impl->Respond(exchange,
                    {.status = 500, .body = R"({"error":"internal"})"});
    }
  };

  static MHD_Result OnAccess(void* self,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload,
                             size_t* upload_size,
                             void** state);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);

  void BeginExchange(MHD_Connection* connection,
                     const char* url,
                     const char* method,
                     void** state);
  MHD_Result ReceiveBody(Exchange& exchange, const char* data, size_t* size);
  void Dispatch(const ExchangePtr& exchange);
  MHD_Result QueueResponse(Exchange& exchange);
  void Respond(const ExchangePtr& exchange, HttpResponse response);
  void SetCloseCallback(const ExchangePtr& exchange,
                        std::function<void()> callback);
  MHD_Daemon* StartDaemon(int fd, unsigned threads);
  size_t AbortPending();

  HttpListenerOptions m_options;
  HttpHandler m_handler;
  std::string m_address;
  std::atomic<bool> m_close_after_response{false};
  CloseWatcher m_close_watcher;

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::unique_ptr<MhdDaemonThread>> m_daemon_threads;
  std::set<ExchangePtr> m_exchanges;
  // Connections suspended in the library, which must not be stopped before this
  // is 0.
  size_t m_suspended = 0;
};

void HttpListener::Impl::Start() {
  const int fd = OpenListenSocket(m_options.address);
  m_address = BoundAddress(fd);
  const unsigned threads = std::max(1U, m_options.threads);
  for (unsigned i = 0; i < threads; ++i) {
    // Each daemon owns a separate descriptor of the listening socket.
    const int daemon_fd = i + 1 < threads ? dup(fd) : fd;
    MHD_Daemon* daemon = StartDaemon(daemon_fd, threads);
    if (daemon == nullptr) {
      close(daemon_fd);
      throw std::runtime_error("cannot start the HTTP listener on " +
                               m_address);
    }
    auto daemon_thread = std::make_unique<MhdDaemonThread>(daemon);
    std::lock_guard lock(m_mutex);
    m_daemon_threads.push_back(std::move(daemon_thread));
  }
}

MHD_Daemon* HttpListener::Impl::StartDaemon(int fd, unsigned threads) {
  const auto seconds = std::max<int64_t>(
      1,
      std::chrono::ceil<std::chrono::seconds>(m_options.idle_timeout).count());
  const unsigned connections =
      (m_options.max_connections + threads - 1) / threads;
  return MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Impl::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, connections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      2 * m_options.max_header_bytes + kConnectionOverheadBytes,
      MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(seconds),
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, this, MHD_OPTION_END);
}

MHD_Result HttpListener::Impl::OnAccess(void* self,
                                        MHD_Connection* connection,
                                        const char* url,
                                        const char* method,
                                        const char* /*version*/,
                                        const char* upload,
                                        size_t* upload_size,
                                        void** state) {
  auto* impl = static_cast<Impl*>(self);
  if (*state == nullptr) {
    impl->BeginExchange(connection, url, method, state);
    return MHD_YES;
  }
  const ExchangePtr& exchange = *static_cast<ExchangePtr*>(*state);
  if (*upload_size > 0)
    return impl->ReceiveBody(*exchange, upload, upload_size);
  if (exchange->dispatched)
    return impl->QueueResponse(*exchange);
  impl->Dispatch(exchange);
  return MHD_YES;
}

void HttpListener::Impl::BeginExchange(MHD_Connection* connection,
                                       const char* url,
                                       const char* method,
                                       void** state) {
  auto exchange = std::make_shared<Exchange>();
  exchange->connection = connection;
  HttpRequest& request = exchange->request;
  request.method = method;
  request.path = url;
  MHD_get_connection_values_n(connection, MHD_HEADER_KIND, &AppendKeyValue,
                              &request.headers);
  MHD_get_connection_values_n(connection, MHD_GET_ARGUMENT_KIND,
                              &AppendKeyValue, &request.query);
  size_t header_bytes = request.path.size();
  for (const auto* entries : {&request.headers, &request.query}) {
    for (const auto& [name, value] : *entries)
      header_bytes += name.size() + value.size() + 4;
  }
  if (header_bytes > m_options.max_header_bytes)
    request.refused_status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
  *state = new ExchangePtr(exchange);
  std::lock_guard lock(m_mutex);
  m_exchanges.insert(std::move(exchange));
}

MHD_Result HttpListener::Impl::ReceiveBody(Exchange& exchange,
                                           const char* data,
                                           size_t* size) {
  exchange.received += *size;
  if (exchange.received > kMaxDiscardedBodyFactor * m_options.max_body_bytes ||
      Clock::now() - exchange.started > m_options.body_timeout)
    return MHD_NO;
  if (exchange.received > m_options.max_body_bytes) {
    exchange.request.body.clear();
    exchange.request.refused_status = MHD_HTTP_CONTENT_TOO_LARGE;
  } else if (!exchange.request.refused_status) {
    exchange.request.body.append(data, *size);
  }
  *size = 0;
  return MHD_YES;
}

void HttpListener::Impl::Dispatch(const ExchangePtr& exchange) {
  exchange->dispatched = true;
  {
    std::lock_guard lock(m_mutex);
    ++m_suspended;
  }
  // Suspends before the handler runs, since the handler or another thread may
  // respond, and thereby resume the connection, immediately.
  MHD_suspend_connection(exchange->connection);
  auto state = std::make_shared<ResponderState>(shared_from_this(), exchange);
  HttpResponder responder = [state](HttpResponse response) {
    state->impl->Respond(state->exchange, std::move(response));
  };
  state.reset();
  exchange->request.set_close_callback =
      [weak = std::weak_ptr(exchange), self = weak_from_this()](auto callback) {
        if (const auto impl = self.lock())
          if (const auto live = weak.lock())
            impl->SetCloseCallback(live, std::move(callback));
      };
  try {
    m_handler(std::move(exchange->request), responder);
  } catch (const std::exception&) {
    responder({.status = 500, .body = R"({"error":"internal"})"});
  }
}

MHD_Result HttpListener::Impl::QueueResponse(Exchange& exchange) {
  HttpResponse response;
  {
    std::lock_guard lock(exchange.mutex);
    if (!exchange.responded)
      return MHD_YES;
    response = std::move(exchange.response);
  }
  const auto status = static_cast<unsigned>(response.status);
  MHD_Response* mhd_response =
      MakeMhdResponse(std::move(response), m_close_after_response.load());
  if (mhd_response == nullptr)
    return MHD_NO;
  const MHD_Result result =
      MHD_queue_response(exchange.connection, status, mhd_response);
  MHD_destroy_response(mhd_response);
  return result;
}

void HttpListener::Impl::Respond(const ExchangePtr& exchange,
                                 HttpResponse response) {
  {
    std::lock_guard lock(exchange->mutex);
    if (exchange->responded)
      return;
    exchange->responded = true;
    exchange->response = std::move(response);
    // Must precede resuming the connection, after which its socket may be
    // closed.
    if (exchange->close_watch)
      m_close_watcher.Unwatch(*exchange->close_watch);
  }
  // The connection is valid: it is suspended until this call, the only one that
  // resumes it.
  MHD_resume_connection(exchange->connection);
  std::lock_guard lock(m_mutex);
  for (const auto& daemon : m_daemon_threads)
    daemon->Wake();
  --m_suspended;
  m_changed.notify_all();
}

void HttpListener::Impl::SetCloseCallback(const ExchangePtr& exchange,
                                          std::function<void()> callback) {
  std::lock_guard lock(exchange->mutex);
  if (exchange->responded || exchange->close_watch)
    return;
  const MHD_ConnectionInfo* info = MHD_get_connection_info(
      exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != nullptr)
    exchange->close_watch =
        m_close_watcher.Watch(info->connect_fd, std::move(callback));
}

void HttpListener::Impl::OnCompleted(void* self,
                                     MHD_Connection* /*connection*/,
                                     void** state,
                                     MHD_RequestTerminationCode /*code*/) {
  if (*state == nullptr)
    return;
  auto* impl = static_cast<Impl*>(self);
  std::unique_ptr<ExchangePtr> exchange(static_cast<ExchangePtr*>(*state));
  *state = nullptr;
  std::lock_guard lock(impl->m_mutex);
  impl->m_exchanges.erase(*exchange);
  impl->m_changed.notify_all();
}

size_t HttpListener::Impl::AbortPending() {
  std::set<ExchangePtr> exchanges;
  {
    std::lock_guard lock(m_mutex);
    exchanges = m_exchanges;
  }
  size_t aborted = 0;
  for (const ExchangePtr& exchange : exchanges) {
    {
      std::lock_guard lock(exchange->mutex);
      if (exchange->responded)
        continue;
    }
    ++aborted;
    if (exchange->dispatched)
      Respond(exchange, {.status = kServiceUnavailable,
                         .body = R"({"error":"shutting_down"})"});
  }
  return aborted;
}

size_t HttpListener::Impl::Stop(Duration limit) {
  const auto now = Clock::now();
  if (m_daemon_threads.empty())
    return 0;
  m_close_after_response = true;
  for (const auto& daemon : m_daemon_threads)
    daemon->Quiesce();
  const auto first_request_end =
      now + std::min(limit, config::kStopFirstRequestTimeout);
  {
    std::unique_lock lock(m_mutex);
    // Waits the full time, since a connection that a thread is still accepting
    // is not in m_exchanges yet.
    m_changed.wait_until(lock, first_request_end, [] { return false; });
    m_changed.wait_until(lock, now + limit,
                         [this] { return m_exchanges.empty(); });
  }
  const size_t aborted = AbortPending();
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_suspended == 0; });
    // Gives the threads time to send the responses to aborted requests.
    if (aborted > 0)
      m_changed.wait_for(lock, config::kStopFirstRequestTimeout,
                         [this] { return m_exchanges.empty(); });
  }
  // Joined without the lock, since the threads still call OnCompleted(), which
  // takes it.
  std::vector<std::unique_ptr<MhdDaemonThread>> daemons;
  {
    std::lock_guard lock(m_mutex);
    daemons.swap(m_daemon_threads);
  }
  daemons.clear();
  m_close_watcher.Stop();
  return aborted;
}

HttpListener::HttpListener(HttpListenerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(std::move(options), std::move(handler))) {
  m_impl->Start();
}

HttpListener::~HttpListener() {
  Stop(Duration(0));
}

const std::string& HttpListener::address() const {
  return m_impl->address();
}

size_t HttpListener::in_flight() const {
  return m_impl->in_flight();
}

void HttpListener::CloseAfterResponse() {
  m_impl->CloseAfterResponse();
}

size_t HttpListener::Stop(Duration limit) {
  return m_impl->Stop(limit);
}

}  // namespace wasabihook
