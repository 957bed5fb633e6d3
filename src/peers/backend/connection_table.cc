#include "peers/backend/connection_table.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "peers/backend/transfer.h"

namespace wasabihook {

ConnectionTable::ConnectionTable(int epoll, TransportCounters* counters)
    : m_epoll(epoll), m_counters(counters) {}

curl_socket_t ConnectionTable::Open(Transfer* transfer,
                                    const curl_sockaddr* address) {
  Server* server = transfer->server;
  if (server->connections.size() >= server->connection_limit &&
      !ShutDownIdle(server)) {
    transfer->connection_limit_hit = true;
    m_counters->refused_for_limit.Add();
    return CURL_SOCKET_BAD;
  }
  int fd =
      socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK,
             address->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  auto connection = std::make_unique<Connection>();
  connection->fd = fd;
  connection->serial = m_next_serial++;
  connection->server = server;
  connection->transfer = transfer;
  connection->opened_at = TransportClock::now();
  transfer->connection = connection.get();
  server->connections.push_back(connection.get());
  m_by_fd[fd] = std::move(connection);
  m_counters->open.Add();
  m_counters->opened.Add();
  return fd;
}

void ConnectionTable::Close(curl_socket_t fd) {
  auto found = m_by_fd.find(fd);
  if (found == m_by_fd.end()) {
    close(fd);
    return;
  }
  Connection* connection = found->second.get();
  if (connection->transfer) {
    connection->transfer->connection = nullptr;
  }
  if (!connection->shut_down) {
    std::erase(connection->server->connections, connection);
    m_counters->open.Add(-1);
  }
  m_by_fd.erase(found);
  close(fd);
}

void ConnectionTable::Register(Connection* connection, uint32_t events) {
  if (connection->events == events || connection->shut_down) {
    return;
  }
  epoll_event event{};
  event.events = events;
  event.data.u64 = static_cast<uint64_t>(connection->serial) << 32 |
                   static_cast<uint32_t>(connection->fd);
  epoll_ctl(m_epoll, connection->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
            connection->fd, &event);
  connection->events = events;
}

void ConnectionTable::SetPollEvents(curl_socket_t fd, int what) {
  auto found = m_by_fd.find(fd);
  if (found == m_by_fd.end()) {
    return;
  }
  Connection* connection = found->second.get();
  connection->used_by_curl = what != CURL_POLL_REMOVE;
  // Idle connections stay registered, so that a close by the server is detected
  // before reuse, and reuse needs no epoll_ctl call.
  Register(connection, (what & CURL_POLL_OUT) ? EPOLLIN | EPOLLRDHUP | EPOLLOUT
                                              : EPOLLIN | EPOLLRDHUP);
}

Connection* ConnectionTable::Find(uint64_t event_data) const {
  auto found = m_by_fd.find(static_cast<int>(event_data & 0xffffffff));
  if (found == m_by_fd.end() || found->second->serial != event_data >> 32) {
    return nullptr;
  }
  return found->second.get();
}

void ConnectionTable::ShutDown(Connection* connection) {
  if (connection->shut_down) {
    return;
  }
  connection->shut_down = true;
  shutdown(connection->fd, SHUT_RDWR);
  if (connection->events) {
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, connection->fd, nullptr);
    connection->events = 0;
  }
  std::erase(connection->server->connections, connection);
  m_counters->open.Add(-1);
}

bool ConnectionTable::ShutDownIdle(Server* server) {
  for (Connection* connection : server->connections) {
    if (!connection->transfer && !connection->used_by_curl) {
      ShutDown(connection);
      return true;
    }
  }
  return false;
}

size_t ConnectionTable::MarkSuspect(Server* server,
                                    TransportClock::time_point cutoff) {
  std::vector<Connection*> idle;
  size_t marked = 0;
  for (Connection* connection : server->connections) {
    if (connection->opened_at >= cutoff || connection->no_reuse) {
      continue;
    }
    ++marked;
    connection->no_reuse = true;
    if (!connection->transfer) {
      idle.push_back(connection);
    }
  }
  for (Connection* connection : idle) {
    ShutDown(connection);
  }
  return marked;
}

Connection* FindByPort(const Server& server, uint16_t local_port) {
  for (Connection* connection : server.connections) {
    if (connection->local_port == local_port) {
      return connection;
    }
  }
  return nullptr;
}

}  // namespace wasabihook
