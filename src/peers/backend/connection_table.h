// Private. Open sockets of one transport worker, registered with its epoll
// instance.
#ifndef SRC_PEERS_BACKEND_CONNECTION_TABLE_H_
#define SRC_PEERS_BACKEND_CONNECTION_TABLE_H_

#include <curl/curl.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "peers/backend/transport_options.h"

namespace wasabihook {

using TransportClock = std::chrono::steady_clock;

struct Transfer;
struct Server;

// Socket to a backend server.
struct Connection {
  int fd = -1;
  uint32_t serial = 0;
  uint16_t local_port = 0;  // Set by the first request; 0 before.
  Server* server = nullptr;
  Transfer* transfer = nullptr;
  TransportClock::time_point opened_at;
  TransportClock::time_point last_reply_at;
  uint32_t events = 0;        // Registered with epoll; 0 if not registered.
  bool used_by_curl = false;  // libcurl polls it.
  bool shut_down = false;     // Shut down here; libcurl still owns the fd.
  bool no_reuse = false;      // To be shut down when its transfer ends.
};

// Opens, polls and shuts down sockets on behalf of libcurl. libcurl has no call
// that closes a single idle connection, so the table shuts the socket down: the
// server sees the end of the connection at once, and libcurl discards it when
// it next checks it. Used by the worker thread only.
class ConnectionTable {
 public:
  ConnectionTable(int epoll, TransportCounters* counters);

  // Returns CURL_SOCKET_BAD if the server's connection limit is reached and no
  // idle connection can be shut down.
  curl_socket_t Open(Transfer* transfer, const curl_sockaddr* address);
  void Close(curl_socket_t fd);
  // Registers the events that libcurl polls for (CURL_POLL_*).
  void SetPollEvents(curl_socket_t fd, int what);
  // Returns the connection of an epoll event, or null if it has been closed
  // since.
  Connection* Find(uint64_t event_data) const;
  void ShutDown(Connection* connection);
  // Shuts down the oldest idle connection of `server`. Returns false if there
  // is none.
  bool ShutDownIdle(Server* server);
  // Shuts down idle connections opened before `cutoff`, and busy ones when
  // their transfer ends. Returns the number of connections newly marked.
  size_t MarkSuspect(Server* server, TransportClock::time_point cutoff);

 private:
  void Register(Connection* connection, uint32_t events);

  const int m_epoll;
  TransportCounters* const m_counters;
  uint32_t m_next_serial = 1;
  std::unordered_map<int, std::unique_ptr<Connection>> m_by_fd;
};

// Returns the connection of `server` that uses `local_port`, or null.
Connection* FindByPort(const Server& server, uint16_t local_port);

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_CONNECTION_TABLE_H_
