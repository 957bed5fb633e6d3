// Clients of a crowd, all in one thread.

#ifndef REVIEW_STANDIN_3_CROWD_HPP_
#define REVIEW_STANDIN_3_CROWD_HPP_

#include <fcntl.h>
#include <sys/epoll.h>

#include <string>
#include <unordered_map>

#include "stage.hpp"

namespace stage {

struct CrowdOptions {
  size_t clients = 0;
  // What each client sends.
  std::string text;
  // Sends it again and again.
  bool repeats = false;
  // Reads the answers.
  bool reads = false;
};

// Each client keeps one connection, and opens another as soon as it is closed.
class Crowd {
 public:
  Crowd(uint16_t port, CrowdOptions options)
      : m_port(port),
        m_options(std::move(options)),
        m_epoll(epoll_create1(EPOLL_CLOEXEC)) {}
  ~Crowd() {
    for (const auto& [fd, sent] : m_sent)
      close(fd);
    close(m_epoll);
  }

  void Run(double until) {
    std::vector<epoll_event> events(512);
    while (Now() < until) {
      while (m_sent.size() < m_options.clients && Open()) {
      }
      const int count = epoll_wait(m_epoll, events.data(),
                                   static_cast<int>(events.size()), 10);
      for (int i = 0; i < count; ++i)
        OnEvent(events[static_cast<size_t>(i)]);
    }
  }
  size_t connects() const { return m_connects; }
  size_t closed() const { return m_closed; }
  size_t sent_bytes() const { return m_sent_bytes; }

 private:
  bool Open() {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
      return false;
    const sockaddr_in target = Loopback(m_port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) != 0 &&
        errno != EINPROGRESS) {
      close(fd);
      return false;
    }
    m_sent[fd] = 0;
    ++m_connects;
    Watch(EPOLL_CTL_ADD, fd, true);
    return true;
  }

  void Watch(int operation, int fd, bool sends) {
    epoll_event event{};
    event.events = EPOLLRDHUP;
    if (sends)
      event.events |= EPOLLOUT;
    if (m_options.reads)
      event.events |= EPOLLIN;
    event.data.fd = fd;
    epoll_ctl(m_epoll, operation, fd, &event);
  }

  void OnEvent(const epoll_event& event) {
    const int fd = event.data.fd;
    bool ended = (event.events & (EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0;
    if (!ended && (event.events & EPOLLOUT) != 0)
      ended = !Send(fd);
    if (!ended && (event.events & EPOLLIN) != 0) {
      static char buffer[65536];
      ended = recv(fd, buffer, sizeof(buffer), 0) == 0;
    }
    if (!ended)
      return;
    close(fd);
    m_sent.erase(fd);
    ++m_closed;
  }

  bool Send(int fd) {
    size_t& sent = m_sent[fd];
    const ssize_t count = send(fd, m_options.text.data() + sent,
                               m_options.text.size() - sent, MSG_NOSIGNAL);
    if (count < 0)
      return errno == EAGAIN;
    sent += static_cast<size_t>(count);
    m_sent_bytes += static_cast<size_t>(count);
    if (sent < m_options.text.size())
      return true;
    if (m_options.repeats)
      sent = 0;
    else
      Watch(EPOLL_CTL_MOD, fd, false);
    return true;
  }

  const uint16_t m_port;
  const CrowdOptions m_options;
  const int m_epoll;
  // Bytes sent by connection.
  std::unordered_map<int, size_t> m_sent;
  size_t m_connects = 0;
  size_t m_closed = 0;
  size_t m_sent_bytes = 0;
};

inline std::string Describe(const Crowd& crowd) {
  return "the crowd opened " + std::to_string(crowd.connects()) +
         " connections, " + std::to_string(crowd.closed()) +
         " were closed, it sent " +
         std::to_string(crowd.sent_bytes() / 1'000'000) + " MB";
}

}  // namespace stage

#endif  // REVIEW_STANDIN_3_CROWD_HPP_
