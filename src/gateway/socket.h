#ifndef SRC_GATEWAY_SOCKET_H_
#define SRC_GATEWAY_SOCKET_H_

// PRIVATE HEADER. Non-blocking TCP sockets of the gateway.

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Timeouts after which TCP reports a peer that no longer responds.
struct TcpTimeouts {
  // Time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT).
  Duration user_timeout{0};
  // Idle time before the first keep-alive probe and interval between probes,
  // rounded up to whole seconds.
  Duration keepalive{0};
};

// Owns the file descriptor of a socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : m_fd(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : m_fd(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return m_fd; }
  bool open() const { return m_fd >= 0; }
  int Release();
  void Close();
  // Discards unsent data and resets the connection.
  void Reset();

 private:
  int m_fd = -1;
};

// True for an "ip:port" that ConnectTo() accepts.
bool IsConnectable(const std::string& address);
// Starts to connect to `address` ("ip:port"). The result is not open if the
// address is invalid or connecting fails at once.
Socket ConnectTo(const std::string& address, const TcpTimeouts& timeouts);
// Returns and clears the pending error of a socket; 0 if there is none.
int TakeSocketError(int fd);
// Accepts one connection. The result is not open if none is pending.
Socket AcceptFrom(int listen_fd, const TcpTimeouts& timeouts);

enum class IoStatus : unsigned char { kOk, kWouldBlock, kClosed, kError };

struct IoResult {
  IoStatus status = IoStatus::kOk;
  size_t bytes = 0;
};

// IPv4 address of the peer, in host order; 0 if unknown.
uint32_t PeerAddress(int fd);
// Smoothed round-trip time of a connection; empty if TCP does not tell it.
std::optional<Duration> RoundTrip(int fd);
IoResult ReadSome(int fd, char* buffer, size_t size);
IoResult WriteSome(int fd, std::string_view data);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SOCKET_H_
