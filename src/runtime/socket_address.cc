#include "runtime/socket_address.h"

#include <arpa/inet.h>
#include <netdb.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>
#include <optional>
#include <stdexcept>

namespace wasabihook {
namespace {

using AddressInfo = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

struct HostPort {
  std::string host;
  std::string port;
};

std::optional<HostPort> SplitHostPort(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  HostPort parts{address.substr(0, colon), address.substr(colon + 1)};
  if (parts.host.front() == '[' && parts.host.back() == ']')
    parts.host = parts.host.substr(1, parts.host.size() - 2);
  else if (parts.host.find(':') != std::string::npos)
    return std::nullopt;
  const bool digits = std::all_of(parts.port.begin(), parts.port.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  if (!digits || parts.port.empty() || parts.port.size() > 5 ||
      std::stoi(parts.port) > 65535)
    return std::nullopt;
  return parts;
}

AddressInfo ParseAddress(const std::string& address) {
  addrinfo hints{};
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
  hints.ai_socktype = SOCK_STREAM;
  addrinfo* found = nullptr;
  if (const auto parts = SplitHostPort(address)) {
    if (getaddrinfo(parts->host.c_str(), parts->port.c_str(), &hints, &found) !=
        0)
      found = nullptr;
  }
  return {found, &freeaddrinfo};
}

[[noreturn]] void ThrowErrno(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

bool IsValidAddress(const std::string& address) {
  return ParseAddress(address) != nullptr;
}

int OpenListenSocket(const std::string& address) {
  const AddressInfo info = ParseAddress(address);
  if (!info)
    throw std::runtime_error("not an \"ip:port\" address: " + address);
  const int fd =
      socket(info->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    ThrowErrno("cannot create a socket for " + address);
  const int enable = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  if (bind(fd, info->ai_addr, info->ai_addrlen) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    const int error = errno;
    close(fd);
    errno = error;
    ThrowErrno("cannot listen on " + address);
  }
  return fd;
}

std::string BoundAddress(int socket) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  if (getsockname(socket, address, &length) != 0)
    ThrowErrno("getsockname");
  char host[NI_MAXHOST];
  char port[NI_MAXSERV];
  if (getnameinfo(address, length, host, sizeof(host), port, sizeof(port),
                  NI_NUMERICHOST | NI_NUMERICSERV) != 0)
    throw std::runtime_error("getnameinfo failed");
  const std::string text = host;
  const bool is_ipv6 = storage.ss_family == AF_INET6;
  return (is_ipv6 ? "[" + text + "]" : text) + ":" + port;
}

}  // namespace wasabihook
