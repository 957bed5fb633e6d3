#include "gateway/signal_pipe.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr std::array kSignals = {SIGTERM, SIGINT, SIGHUP};

// Global, since a signal handler takes no context argument.
std::atomic<int> g_write_fd{-1};

void OnSignal(int signal) {
  const int saved = errno;
  const auto byte = static_cast<char>(signal);
  // If the pipe is full, the bytes in it already wake the loop.
  [[maybe_unused]] const ssize_t written = write(g_write_fd.load(), &byte, 1);
  errno = saved;
}

}  // namespace

SignalPipe::SignalPipe(EventLoop* loop, std::function<void(int)> on_signal)
    : m_loop(loop), m_on_signal(std::move(on_signal)) {
  std::array<int, 2> fds{};
  if (pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create a pipe for signals");
  m_read_fd = fds[0];
  g_write_fd = fds[1];
  m_loop->Watch(m_read_fd, EPOLLIN, this);
  struct sigaction action {};
  action.sa_handler = &OnSignal;
  for (const int signal : kSignals)
    sigaction(signal, &action, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

SignalPipe::~SignalPipe() {
  for (const int number : kSignals)
    signal(number, SIG_DFL);
  m_loop->Unwatch(m_read_fd);
  close(m_read_fd);
  close(g_write_fd.exchange(-1));
}

void SignalPipe::OnIo(uint32_t /*events*/) {
  char byte = 0;
  while (read(m_read_fd, &byte, 1) == 1)
    m_on_signal(byte);
}

}  // namespace wasabihook::gateway
