// Private. Open sockets of one shard, watched by its epoll instance.
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

// One socket to a backend server.
struct Connection {
  int fd = -1;
  uint32_t serial = 0;
  uint16_t local_port = 0;  // 0 until the first request.
  Server* server = nullptr;
  Transfer* transfer = nullptr;
  TransportClock::time_point opened_at;
  TransportClock::time_point last_reply_at;
  uint32_t events = 0;        // Registered with epoll; 0 if not registered.
  bool used_by_curl = false;  // libcurl waits for events on it.
  bool shut_down = false;     // Shut down here; libcurl still holds the socket.
  bool no_reuse = false;      // Closed when its transfer ends.
};

// Opens, watches and shuts down sockets on behalf of libcurl. libcurl offers no
// call that closes one idle connection, so the table shuts the socket down: the
// server sees it closed at once, and libcurl drops it when it next looks at it.
// Used by the shard thread only.
class ConnectionTable {
 public:
  ConnectionTable(int epoll, TransportCounters* counters);

  // Returns CURL_SOCKET_BAD if the server's limit leaves no connection.
  curl_socket_t Open(Transfer* transfer, const curl_sockaddr* address);
  void Close(curl_socket_t fd);
  // Takes libcurl's interest in a socket (CURL_POLL_*).
  void SetPollEvents(curl_socket_t fd, int what);
  // Connection of an epoll event, or null if it was closed meanwhile.
  Connection* Find(uint64_t event_data) const;
  void ShutDown(Connection* connection);
  // Shuts down one idle connection of `server`, the oldest first.
  bool ShutDownIdle(Server* server);
  // Idle connections opened before `cutoff` are closed, used ones are closed
  // when their transfer ends. Returns how many became suspect.
  size_t MarkSuspect(Server* server, TransportClock::time_point cutoff);

 private:
  void Register(Connection* connection, uint32_t events);

  const int m_epoll;
  TransportCounters* const m_counters;
  uint32_t m_next_serial = 1;
  std::unordered_map<int, std::unique_ptr<Connection>> m_by_fd;
};

// Connection of `server` that uses `local_port`, or null.
Connection* FindByPort(const Server& server, uint16_t local_port);

}  // namespace wasabihook

#endif  // SRC_PEERS_BACKEND_CONNECTION_TABLE_H_
