#include "testing/fake_backends/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wasabihook::testing {
namespace {

constexpr int kBacklog = 512;

void ResetAndClose(int fd) {
  const linger no_linger{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
  close(fd);
}

}  // namespace

HttpServer::HttpServer(EventLoop* loop, Hooks hooks)
    : m_loop(loop),
      m_hooks(std::move(hooks)),
      m_self(std::make_shared<HttpServer*>(this)) {}

HttpServer::~HttpServer() {
  StopListening();
  AbortAll();
}

void HttpServer::Listen(uint16_t port) {
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (m_listener < 0 || bind(m_listener, generic, sizeof(address)) != 0 ||
      listen(m_listener, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on 127.0.0.1:" +
                             std::to_string(port));
  }
  socklen_t length = sizeof(address);
  getsockname(m_listener, generic, &length);
  m_port = ntohs(address.sin_port);
  m_loop->Watch(m_listener, EPOLLIN, [this](uint32_t) { OnAccept(); });
}

void HttpServer::StopListening() {
  if (m_listener >= 0) {
    m_loop->Unwatch(m_listener);
    close(m_listener);
    m_listener = -1;
  }
}

void HttpServer::OnAccept() {
  while (m_listener >= 0) {
    const int fd =
        accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    if (m_max_connections > 0 && open() >= m_max_connections) {
      ++m_refused;
      ResetAndClose(fd);
      continue;
    }
    Add(fd);
  }
}

void HttpServer::Add(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const ConnectionId id = m_next_id++;
  auto connection = std::make_unique<Connection>();
  connection->fd = fd;
  m_connections[id] = std::move(connection);
  ++m_accepted;
  m_peak = std::max(m_peak, open());
  if (m_accept_delay.count() == 0) {
    StartReading(id);
    return;
  }
  m_loop->After(m_accept_delay, [self = std::weak_ptr(m_self), id] {
    if (auto server = self.lock()) {
      (*server)->StartReading(id);
    }
  });
}

void HttpServer::StartReading(ConnectionId id) {
  if (Connection* connection = Find(id); connection && !connection->silent) {
    m_loop->Watch(connection->fd, EPOLLIN,
                  [this, id](uint32_t events) { OnEvents(id, events); });
  }
}

void HttpServer::OnEvents(ConnectionId id, uint32_t events) {
  if (events & EPOLLOUT) {
    Flush(id);
  }
  if (events & ~static_cast<uint32_t>(EPOLLOUT)) {
    Read(id);
  }
}

void HttpServer::Read(ConnectionId id) {
  Connection* connection = Find(id);
  if (!connection) {
    return;
  }
  std::array<char, 16384> buffer;
  const ssize_t count = read(connection->fd, buffer.data(), buffer.size());
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    const bool busy = connection->busy;
    Close(id, false);
    if (busy && m_hooks.on_closed) {
      m_hooks.on_closed(id);
    }
    return;
  }
  connection->parser.Append({buffer.data(), static_cast<size_t>(count)});
  ServeNext(id);
}

void HttpServer::ServeNext(ConnectionId id) {
  Connection* connection = Find(id);
  if (!connection || connection->busy || connection->close_after_write) {
    return;
  }
  std::optional<HttpRequest> request = connection->parser.Next();
  if (request) {
    connection->busy = true;
    m_hooks.on_request(id, std::move(*request));
  } else if (connection->parser.bad()) {
    Close(id, true);
  }
}

void HttpServer::Reply(ConnectionId id, std::string_view bytes) {
  Connection* connection = Find(id);
  if (!connection || connection->silent) {
    return;
  }
  connection->out.append(bytes);
  connection->busy = false;
  Flush(id);
  ServeNext(id);
}

void HttpServer::ReplyAndClose(ConnectionId id, std::string_view bytes) {
  if (Connection* connection = Find(id)) {
    connection->close_after_write = true;
    Reply(id, bytes);
  }
}

void HttpServer::Flush(ConnectionId id) {
  Connection* connection = Find(id);
  if (!connection) {
    return;
  }
  while (!connection->out.empty()) {
    const ssize_t count = send(connection->fd, connection->out.data(),
                               connection->out.size(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EAGAIN && !connection->wants_write) {
        connection->wants_write = true;
        m_loop->ChangeEvents(connection->fd, EPOLLIN | EPOLLOUT);
      }
      return;  // Read() closes a failed connection.
    }
    connection->out.erase(0, static_cast<size_t>(count));
  }
  if (connection->wants_write) {
    connection->wants_write = false;
    m_loop->ChangeEvents(connection->fd, EPOLLIN);
  }
  if (connection->close_after_write) {
    Close(id, false);
  }
}

void HttpServer::Abort(ConnectionId id) {
  Close(id, true);
}

void HttpServer::AbortAll() {
  std::vector<ConnectionId> ids;
  ids.reserve(m_connections.size());
  for (const auto& [id, connection] : m_connections) {
    ids.push_back(id);
  }
  for (ConnectionId id : ids) {
    Close(id, true);
  }
}

void HttpServer::SilenceAll() {
  for (const auto& [id, connection] : m_connections) {
    connection->silent = true;
    m_loop->Unwatch(connection->fd);
    // Still detects a close by the peer, so that open() stays correct.
    m_loop->Watch(connection->fd, EPOLLRDHUP,
                  [this, id = id](uint32_t) { Close(id, true); });
  }
}

void HttpServer::Close(ConnectionId id, bool reset) {
  auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  const int fd = found->second->fd;
  m_loop->Unwatch(fd);
  m_connections.erase(found);
  if (reset) {
    ResetAndClose(fd);
  } else {
    close(fd);
  }
}

HttpServer::Connection* HttpServer::Find(ConnectionId id) {
  auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second.get();
}

}  // namespace wasabihook::testing
