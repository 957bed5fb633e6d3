#ifndef SRC_GATEWAY_STDOUT_SINK_H_
#define SRC_GATEWAY_STDOUT_SINK_H_

// PRIVATE HEADER. Log sink that never blocks.

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>

namespace wasabihook::gateway {

// Writes log lines to a file descriptor without ever blocking on its reader.
// Lines that do not fit into the pipe are dropped and counted. Not thread-safe.
class NonBlockingSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit NonBlockingSink(int fd) : m_fd(fd) {}
  uint64_t dropped() const { return m_dropped; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  const int m_fd;
  uint64_t m_dropped = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STDOUT_SINK_H_
