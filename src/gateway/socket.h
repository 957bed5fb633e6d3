#ifndef SRC_GATEWAY_SOCKET_H_
#define SRC_GATEWAY_SOCKET_H_

// PRIVATE HEADER. Non-blocking TCP sockets of the gateway.

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

// How a connection notices that its other end went silent.
struct TcpTimeouts {
  // Unacknowledged data older than this breaks the connection.
  Duration user_timeout{0};
  // Idle time before keep-alive probes and between them; whole seconds.
  Duration keepalive{0};
};

// Owns a descriptor.
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
  // Discards what is unsent and resets the connection.
  void Reset();

 private:
  int m_fd = -1;
};

// Starts to connect to `address` ("ip:port"). Not open if the address is
// invalid or the connection failed at once.
Socket ConnectTo(const std::string& address, const TcpTimeouts& timeouts);
// Pending error of a socket that has finished connecting; 0 if none.
int TakeSocketError(int fd);
// Accepts one connection; not open if none is waiting.
Socket AcceptFrom(int listen_fd, const TcpTimeouts& timeouts);

enum class IoStatus : unsigned char { kOk, kWouldBlock, kClosed, kError };

struct IoResult {
  IoStatus status = IoStatus::kOk;
  size_t bytes = 0;
};

IoResult ReadSome(int fd, char* buffer, size_t size);
IoResult WriteSome(int fd, std::string_view data);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SOCKET_H_
