#ifndef TESTS_GATEWAY_CLIENT_CROWD_H_
#define TESTS_GATEWAY_CLIENT_CROWD_H_

// Clients that send what they like, as fast or as slowly as they like.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabihook::gateway {

// Each client opens one connection and sends `bytes` in pieces, then stays. It
// reads nothing unless `reads` is set.
struct ClientPlan {
  std::string bytes;
  size_t piece = size_t{64} * 1024;
  bool reads = false;
  // Further copies of `bytes` that are sent ahead.
  uint32_t copies = 1;
};

class ClientCrowd {
 public:
  // Connects `clients` clients from `source`, an address of the loopback range.
  // Those that can't connect at once try again with each step.
  ClientCrowd(const std::string& address,
              const std::string& source,
              size_t clients,
              ClientPlan plan)
      : m_plan(std::move(plan)),
        m_server(Parse(address)),
        m_source(Parse(source + ":0")),
        m_clients(clients) {}
  ~ClientCrowd() {
    for (const Client& client : m_clients) {
      if (client.fd >= 0)
        close(client.fd);
    }
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Sends a piece from each client. Returns true once nobody has been able to
  // send any more for many steps, or all have sent everything.
  bool Step() {
    constexpr uint32_t kIdleSteps = 200;
    bool moved = false;
    bool unfinished = false;
    for (Client& client : m_clients) {
      moved = Advance(client) || moved;
      unfinished = unfinished || !client.done;
    }
    m_idle_steps = moved ? 0 : m_idle_steps + 1;
    return !unfinished || m_idle_steps > kIdleSteps;
  }
  // Clients whose connections the other side has ended.
  size_t ended() const {
    size_t out = 0;
    for (const Client& client : m_clients)
      out += client.ended ? 1 : 0;
    return out;
  }

 private:
  struct Client {
    int fd = -1;
    size_t sent = 0;
    bool done = false;
    bool ended = false;
  };

  static sockaddr_in Parse(const std::string& address) {
    const size_t colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port =
        htons(static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
  }

  bool Connect(Client& client) {
    client.fd = socket(AF_INET, SOCK_STREAM, 0);
    // Small, so that what the server does not read stays with the client.
    const int buffer = 16 * 1024;
    setsockopt(client.fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof(buffer));
    setsockopt(client.fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    fcntl(client.fd, F_SETFL, O_NONBLOCK);
    const bool bound =
        bind(client.fd, reinterpret_cast<const sockaddr*>(&m_source),
             sizeof(m_source)) == 0;
    if (!bound) {
      close(std::exchange(client.fd, -1));
      return false;
    }
    if (connect(client.fd, reinterpret_cast<const sockaddr*>(&m_server),
                sizeof(m_server)) == 0 ||
        errno == EINPROGRESS)
      return true;
    close(std::exchange(client.fd, -1));
    return false;
  }

  // Returns true if the client has made progress.
  bool Advance(Client& client) {
    if (client.done)
      return false;
    if (client.fd < 0)
      return Connect(client);
    if (m_plan.reads)
      Drain(client);
    const std::string_view rest =
        std::string_view(m_plan.bytes)
            .substr(client.sent % m_plan.bytes.size(), m_plan.piece);
    const ssize_t count =
        send(client.fd, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == ENOTCONN))
      return false;
    if (count < 0) {
      client.ended = true;
      client.done = true;
      return true;
    }
    client.sent += static_cast<size_t>(count);
    client.done = client.sent >= m_plan.bytes.size() * m_plan.copies;
    return true;
  }

  static void Drain(const Client& client) {
    char buffer[4096];
    while (recv(client.fd, buffer, sizeof(buffer), 0) > 0) {
    }
  }

  const ClientPlan m_plan;
  const sockaddr_in m_server;
  const sockaddr_in m_source;
  std::vector<Client> m_clients;
  uint32_t m_idle_steps = 0;
};

}  // namespace wasabihook::gateway

#endif  // TESTS_GATEWAY_CLIENT_CROWD_H_
