#include "peers/backend/transport_worker.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace wasabihook {
namespace {

constexpr int kMaxWaitMs = 1000;
constexpr uint64_t kWakeData = 0;
// The connection limits of the servers bound idle connections, not libcurl.
constexpr long kMaxCachedConnections = 1L << 20;

}  // namespace

TransportWorker::TransportWorker(const BackendTransportOptions& options,
                                 std::function<void()> on_callback_done)
    : m_options(options),
      m_on_callback_done(std::move(on_callback_done)),
      m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      m_multi(curl_multi_init()),
      m_connections(m_epoll, &m_counters),
      m_context{&m_connections, &m_counters, &m_options} {
  if (m_epoll < 0 || m_wake_fd < 0 || !m_multi) {
    throw std::runtime_error(
        "cannot create the epoll instance, eventfd or curl multi handle of a "
        "backend transport worker");
  }
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeData;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake_fd, &event);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION,
                    &TransportWorker::OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION,
                    &TransportWorker::OnCurlTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
  m_thread = std::thread([this] { Loop(); });
}

TransportWorker::~TransportWorker() {
  Join();
  m_transfers.clear();
  curl_multi_cleanup(m_multi);
  close(m_wake_fd);
  close(m_epoll);
}

void TransportWorker::Post(Command command) {
  bool wake = false;
  {
    std::lock_guard lock(m_mutex);
    if (const auto* send = std::get_if<SendCommand>(&command)) {
      m_pending_ids.insert(send->request.id);
    }
    // The worker thread checks the queue before it waits.
    wake =
        m_commands.empty() && std::this_thread::get_id() != m_thread.get_id();
    m_commands.push_back(std::move(command));
  }
  if (wake) {
    eventfd_write(m_wake_fd, 1);
  }
}

void TransportWorker::Send(SubRequest request, SubReplyCallback done) {
  const Clock::time_point deadline = Clock::now() + request.remaining;
  Post(SendCommand{std::move(request), std::move(done), deadline});
}

bool TransportWorker::Cancel(const SubRequestId& id) {
  {
    std::lock_guard lock(m_mutex);
    if (!m_pending_ids.contains(id)) {
      return false;
    }
  }
  Post(CancelCommand{id});
  return true;
}

void TransportWorker::SetConnectionLimit(const ServerId& server,
                                         uint32_t limit) {
  Post(LimitCommand{server, limit});
}

void TransportWorker::Stop() {
  Post(StopCommand{});
}

void TransportWorker::Join() {
  if (m_thread.joinable()) {
    Post(ExitCommand{});
    m_thread.join();
  }
}

void TransportWorker::Loop() {
  std::array<epoll_event, 256> events;
  while (!m_exit) {
    const int count =
        epoll_wait(m_epoll, events.data(), events.size(), WaitMs());
    for (int i = 0; i < count; ++i) {
      HandleEvent(events[i].data.u64, events[i].events);
    }
    RunCurlTimer();
    ReadCompletions();
    RunTimers();
    RunCommands();
    RunCurlTimer();
    ReadCompletions();
  }
}

int TransportWorker::WaitMs() {
  {
    std::lock_guard lock(m_mutex);
    if (!m_commands.empty()) {
      return 0;
    }
  }
  Clock::time_point next = Clock::now() + std::chrono::milliseconds(kMaxWaitMs);
  if (!m_timers.empty()) {
    next = std::min(next, m_timers.top().when);
  }
  if (m_curl_timer) {
    next = std::min(next, *m_curl_timer);
  }
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(next - Clock::now());
  return static_cast<int>(std::max<int64_t>(wait.count(), 0));
}

void TransportWorker::HandleEvent(uint64_t data, uint32_t events) {
  if (data == kWakeData) {
    eventfd_t ignored = 0;
    eventfd_read(m_wake_fd, &ignored);
    return;
  }
  Connection* connection = m_connections.Find(data);
  if (!connection) {
    return;
  }
  if (!connection->used_by_curl && !connection->transfer) {
    // Closed by the server, or unsolicited bytes: a late or duplicate reply
    // that must not be taken for the reply to the next request.
    m_counters.closed_by_server.Add();
    m_connections.ShutDown(connection);
    return;
  }
  int flags = 0;
  flags |= (events & (EPOLLIN | EPOLLRDHUP)) ? CURL_CSELECT_IN : 0;
  flags |= (events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
  flags |= (events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
  int running = 0;
  curl_multi_socket_action(m_multi, connection->fd, flags, &running);
}

void TransportWorker::RunCurlTimer() {
  // libcurl may set an already expired timer again from its handler; the bound
  // keeps it from starving the sockets.
  constexpr int kMaxRounds = 8;
  for (int i = 0; i < kMaxRounds; ++i) {
    if (!m_curl_timer || *m_curl_timer > Clock::now()) {
      return;
    }
    m_curl_timer.reset();
    int running = 0;
    curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
  }
}

int TransportWorker::OnSocket(CURL*,
                              curl_socket_t fd,
                              int what,
                              void* self,
                              void*) {
  static_cast<TransportWorker*>(self)->m_connections.SetPollEvents(fd, what);
  return 0;
}

int TransportWorker::OnCurlTimer(CURLM*, long timeout_ms, void* self) {
  auto* worker = static_cast<TransportWorker*>(self);
  if (timeout_ms < 0) {
    worker->m_curl_timer.reset();
  } else {
    worker->m_curl_timer = Clock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

void TransportWorker::RunCommands() {
  {
    std::lock_guard lock(m_mutex);
    m_running_commands.swap(m_commands);
    for (const SubRequestId& id : m_finished_ids) {
      m_pending_ids.erase(id);
    }
  }
  m_finished_ids.clear();
  for (Command& command : m_running_commands) {
    std::visit([this](auto&& c) { Run(std::forward<decltype(c)>(c)); },
               std::move(command));
  }
  m_running_commands.clear();
}

void TransportWorker::Run(CancelCommand command) {
  auto found = m_sub_requests.find(command.id);
  if (found == m_sub_requests.end()) {
    return;
  }
  Transfer* transfer = found->second;
  Server* server = transfer->server;
  if (transfer->ever_sent && !m_stopping) {
    if (server->pending_cancels.size() < config::kMaxPendingCancels) {
      server->pending_cancels.push_back(command.id);
    } else {
      m_counters.cancels_dropped.Add();
    }
  }
  Unschedule(transfer);
  m_counters.cancelled.Add();
  FinishSubRequest(transfer, SubOutcome::kCancelled);
  StartQueued(server);
}

void TransportWorker::Run(LimitCommand command) {
  Server* server = FindServer(command.server);
  server->connection_limit = command.limit;
  while (server->connections.size() > server->connection_limit &&
         m_connections.ShutDownIdle(server)) {
  }
  StartQueued(server);
}

void TransportWorker::Run(StopCommand) {
  m_stopping = true;
  std::vector<SubRequestId> ids;
  ids.reserve(m_sub_requests.size());
  for (const auto& [id, transfer] : m_sub_requests) {
    ids.push_back(id);
  }
  for (const SubRequestId& id : ids) {
    Run(CancelCommand{id});
  }
}

void TransportWorker::Run(ExitCommand) {
  for (const auto& transfer : m_transfers) {
    Unschedule(transfer.get());
  }
  m_exit = true;
}

}  // namespace wasabihook
