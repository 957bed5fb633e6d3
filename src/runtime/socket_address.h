#ifndef SRC_RUNTIME_SOCKET_ADDRESS_H_
#define SRC_RUNTIME_SOCKET_ADDRESS_H_

// PRIVATE HEADER. Numeric "ip:port" addresses.

#include <string>

namespace wasabihook {

// Opens a non-blocking listening TCP socket on `address` ("ip:port", IPv6 as
// "[ip]:port"). Throws std::runtime_error.
int OpenListenSocket(const std::string& address);
// Address that `socket` is bound to. Throws std::runtime_error.
std::string BoundAddress(int socket);
// True for a numeric "ip:port" with a port from 0 to 65535.
bool IsValidAddress(const std::string& address);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_SOCKET_ADDRESS_H_
