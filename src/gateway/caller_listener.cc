#include "gateway/caller_listener.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>

#include "gateway/caller_connection.h"
#include "gateway/gateway_settings.h"
#include "runtime/socket_address.h"

namespace wasabihook::gateway {
namespace {

// Interval between checks of the timeouts of all connections.
constexpr Duration kTimeoutCheckPeriod = std::chrono::milliseconds(200);

}  // namespace

CallerListener::CallerListener(EventLoop* loop,
                               const std::string& address,
                               RequestHandler handler)
    : m_loop(loop),
      m_handler(std::move(handler)),
      m_socket(OpenListenSocket(address)),
      m_address(BoundAddress(m_socket.fd())) {
  // Raises the backlog, which OpenListenSocket() keeps small for tests.
  listen(m_socket.fd(), kListenBacklog);
  m_loop->Watch(m_socket.fd(), EPOLLIN, this);
  m_timeout_timer =
      m_loop->SubscribeEvery(kTimeoutCheckPeriod, [this] { CheckTimeouts(); });
}

CallerListener::~CallerListener() {
  m_loop->Unsubscribe(m_timeout_timer);
  StopAccepting();
}

void CallerListener::StopAccepting() {
  if (!m_socket.open())
    return;
  m_loop->Unwatch(m_socket.fd());
  m_socket.Close();
}

void CallerListener::OnIo(uint32_t /*events*/) {
  AcceptPending();
}

void CallerListener::AcceptPending() {
  while (m_socket.open()) {
    Socket accepted = AcceptFrom(
        m_socket.fd(),
        {.user_timeout = kCallerUserTimeout, .keepalive = kCallerKeepalive});
    if (!accepted.open())
      return;
    auto connection =
        std::make_unique<CallerConnection>(this, m_loop, std::move(accepted));
    CallerConnection* key = connection.get();
    if (m_budget != nullptr && !m_budget->Add(key))
      continue;
    m_connections.emplace(key, std::move(connection));
  }
}

void CallerListener::Remove(CallerConnection* connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end())
    return;
  if (m_budget != nullptr)
    m_budget->Remove(connection);
  m_loop->Retire(std::move(found->second));
  m_connections.erase(found);
}

size_t CallerListener::in_flight() const {
  return static_cast<size_t>(
      std::count_if(m_connections.begin(), m_connections.end(),
                    [](const auto& entry) { return entry.first->busy(); }));
}

void CallerListener::CloseIdle() {
  std::vector<CallerConnection*> all;
  for (const auto& [connection, owned] : m_connections)
    all.push_back(connection);
  for (CallerConnection* connection : all)
    connection->CloseIfIdle();
}

void CallerListener::CheckTimeouts() {
  std::vector<CallerConnection*> all;
  for (const auto& [connection, owned] : m_connections)
    all.push_back(connection);
  const TimePoint now = m_loop->Now();
  for (CallerConnection* connection : all)
    connection->CheckTimeouts(now);
}

}  // namespace wasabihook::gateway
