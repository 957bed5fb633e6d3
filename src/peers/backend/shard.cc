#include "peers/backend/shard.h"

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
// Idle connections are bounded by the limits of the servers, not by libcurl.
constexpr long kConnectionCache = 1L << 20;

}  // namespace

Shard::Shard(const BackendTransportOptions& options,
             std::function<void()> on_called_back)
    : m_options(options),
      m_on_called_back(std::move(on_called_back)),
      m_epoll(epoll_create1(EPOLL_CLOEXEC)),
      m_wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      m_multi(curl_multi_init()),
      m_connections(m_epoll, &m_counters),
      m_context{&m_connections, &m_counters, &m_options} {
  if (m_epoll < 0 || m_wake_fd < 0 || !m_multi) {
    throw std::runtime_error("cannot create a backend transport shard");
  }
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeData;
  epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake_fd, &event);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Shard::OnSocket);
  curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Shard::OnCurlTimer);
  curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kConnectionCache);
  m_thread = std::thread([this] { Loop(); });
}

Shard::~Shard() {
  Join();
  m_transfers.clear();
  curl_multi_cleanup(m_multi);
  close(m_wake_fd);
  close(m_epoll);
}

void Shard::Post(Command command) {
  bool wake = false;
  {
    std::lock_guard lock(m_mutex);
    if (const auto* send = std::get_if<SendCommand>(&command)) {
      m_live_ids.insert(send->request.id);
    }
    // The shard's own thread looks at the queue before it waits.
    wake =
        m_commands.empty() && std::this_thread::get_id() != m_thread.get_id();
    m_commands.push_back(std::move(command));
  }
  if (wake) {
    eventfd_write(m_wake_fd, 1);
  }
}

void Shard::Send(SubRequest request, SubReplyCallback done) {
  const Clock::time_point deadline = Clock::now() + request.remaining;
  Post(SendCommand{std::move(request), std::move(done), deadline});
}

bool Shard::Cancel(const SubRequestId& id) {
  {
    std::lock_guard lock(m_mutex);
    if (!m_live_ids.contains(id)) {
      return false;
    }
  }
  Post(CancelCommand{id});
  return true;
}

void Shard::SetConnectionLimit(const ServerId& server, uint32_t limit) {
  Post(LimitCommand{server, limit});
}

void Shard::Stop() {
  Post(StopCommand{});
}

void Shard::Join() {
  if (m_thread.joinable()) {
    Post(ExitCommand{});
    m_thread.join();
  }
}

void Shard::Loop() {
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

int Shard::WaitMs() {
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

void Shard::HandleEvent(uint64_t data, uint32_t events) {
  if (data == kWakeData) {
    eventfd_t ignored = 0;
    eventfd_read(m_wake_fd, &ignored);
    return;
  }
  Connection* connection = m_connections.Find(data);
  if (!connection) {
    return;
  }
  if (!connection->watched && !connection->user) {
    // Ended by the server, or bytes that nobody asked for: a late or duplicate
    // reply that must not be taken for the next one.
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

void Shard::RunCurlTimer() {
  // A timer that is due right away may be set again while it runs; the bound
  // lets sockets have their turn.
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

int Shard::OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
  static_cast<Shard*>(self)->m_connections.Watch(fd, what);
  return 0;
}

int Shard::OnCurlTimer(CURLM*, long timeout_ms, void* self) {
  auto* shard = static_cast<Shard*>(self);
  if (timeout_ms < 0) {
    shard->m_curl_timer.reset();
  } else {
    shard->m_curl_timer = Clock::now() + std::chrono::milliseconds(timeout_ms);
  }
  return 0;
}

void Shard::RunCommands() {
  {
    std::lock_guard lock(m_mutex);
    m_running_commands.swap(m_commands);
    for (const SubRequestId& id : m_ended_ids) {
      m_live_ids.erase(id);
    }
  }
  m_ended_ids.clear();
  for (Command& command : m_running_commands) {
    std::visit([this](auto&& c) { Run(std::forward<decltype(c)>(c)); },
               std::move(command));
  }
  m_running_commands.clear();
}

void Shard::Run(CancelCommand command) {
  auto found = m_work.find(command.id);
  if (found == m_work.end()) {
    return;
  }
  Transfer* transfer = found->second;
  Server* server = transfer->server;
  if (transfer->ever_sent && !m_stopping) {
    if (server->cancels.size() < config::kMaxPendingCancels) {
      server->cancels.push_back(command.id);
    } else {
      m_counters.cancels_dropped.Add();
    }
  }
  Withdraw(transfer);
  m_counters.cancelled.Add();
  FinishWork(transfer, SubOutcome::kCancelled);
  Pump(server);
}

void Shard::Run(LimitCommand command) {
  Server* server = FindServer(command.server);
  server->limit = command.limit;
  while (server->connections.size() > server->limit &&
         m_connections.ShutDownIdle(server)) {
  }
  Pump(server);
}

void Shard::Run(StopCommand) {
  m_stopping = true;
  std::vector<SubRequestId> ids;
  ids.reserve(m_work.size());
  for (const auto& [id, transfer] : m_work) {
    ids.push_back(id);
  }
  for (const SubRequestId& id : ids) {
    Run(CancelCommand{id});
  }
}

void Shard::Run(ExitCommand) {
  for (const auto& transfer : m_transfers) {
    Withdraw(transfer.get());
  }
  m_exit = true;
}

}  // namespace wasabihook
