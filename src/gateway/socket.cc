#include "gateway/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <optional>

namespace wasabihook::gateway {
namespace {

// Unanswered keep-alive probes after which a connection is dropped.
constexpr int kKeepaliveProbes = 2;

void SetOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

void Configure(int fd, const TcpTimeouts& timeouts) {
  using std::chrono::duration_cast;
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  if (timeouts.user_timeout > Duration(0)) {
    const auto millis =
        duration_cast<std::chrono::milliseconds>(timeouts.user_timeout);
    SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(millis.count()));
  }
  if (timeouts.keepalive > Duration(0)) {
    const auto seconds = static_cast<int>(
        std::chrono::ceil<std::chrono::seconds>(timeouts.keepalive).count());
    SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  }
}

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::string host = address.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &out.sin_addr) != 1)
    return std::nullopt;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto [rest, error] =
      std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || rest != end || port == 0)
    return std::nullopt;
  out.sin_port = htons(port);
  return out;
}

IoResult FromErrno() {
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    return {IoStatus::kWouldBlock, 0};
  return {IoStatus::kError, 0};
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    m_fd = other.Release();
  }
  return *this;
}

int Socket::Release() {
  const int fd = m_fd;
  m_fd = -1;
  return fd;
}

void Socket::Close() {
  if (m_fd >= 0)
    close(m_fd);
  m_fd = -1;
}

void Socket::Reset() {
  if (m_fd < 0)
    return;
  const linger abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close();
}

bool IsConnectable(const std::string& address) {
  return ParseAddress(address).has_value();
}

Socket ConnectTo(const std::string& address, const TcpTimeouts& timeouts) {
  const auto target = ParseAddress(address);
  if (!target)
    return Socket();
  Socket out(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!out.open())
    return out;
  Configure(out.fd(), timeouts);
  if (connect(out.fd(), reinterpret_cast<const sockaddr*>(&*target),
              sizeof(*target)) != 0 &&
      errno != EINPROGRESS)
    out.Close();
  return out;
}

int TakeSocketError(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
    return errno;
  return error;
}

Socket AcceptFrom(int listen_fd, const TcpTimeouts& timeouts) {
  Socket out(
      accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (out.open())
    Configure(out.fd(), timeouts);
  return out;
}

uint32_t PeerAddress(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
      address.sin_family != AF_INET)
    return 0;
  return ntohl(address.sin_addr.s_addr);
}

std::optional<Duration> RoundTrip(int fd) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      info.tcpi_rtt == 0)
    return std::nullopt;
  return std::chrono::microseconds(info.tcpi_rtt);
}

IoResult ReadSome(int fd, char* buffer, size_t size) {
  const ssize_t count = recv(fd, buffer, size, 0);
  if (count > 0)
    return {IoStatus::kOk, static_cast<size_t>(count)};
  if (count == 0)
    return {IoStatus::kClosed, 0};
  return FromErrno();
}

IoResult WriteSome(int fd, std::string_view data) {
  const ssize_t count = send(fd, data.data(), data.size(), MSG_NOSIGNAL);
  if (count >= 0)
    return {IoStatus::kOk, static_cast<size_t>(count)};
  return FromErrno();
}

}  // namespace wasabihook::gateway
