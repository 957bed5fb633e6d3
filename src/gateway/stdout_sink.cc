#include "gateway/stdout_sink.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace wasabihook::gateway {

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  // A pipe that poll() reports as writable takes PIPE_BUF bytes without
  // blocking.
  pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
  if (line.size() > PIPE_BUF || poll(&ready, 1, 0) != 1 ||
      write(m_fd, line.data(), line.size()) < 0)
    ++m_dropped;
}

}  // namespace wasabihook::gateway
