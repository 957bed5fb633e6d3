#ifndef SRC_GATEWAY_SIGNAL_PIPE_H_
#define SRC_GATEWAY_SIGNAL_PIPE_H_

// PRIVATE HEADER. Signals of the gateway program.

#include <functional>

#include "gateway/event_loop.h"

namespace wasabihook::gateway {

// Forwards SIGTERM, SIGINT and SIGHUP to the event loop through a pipe, and
// ignores SIGPIPE. Only one object may exist per process.
class SignalPipe : public IoHandler {
 public:
  // Throws std::runtime_error if the pipe cannot be created.
  SignalPipe(EventLoop* loop, std::function<void(int)> on_signal);
  ~SignalPipe() override;
  SignalPipe(const SignalPipe&) = delete;
  SignalPipe& operator=(const SignalPipe&) = delete;

  void OnIo(uint32_t events) override;

 private:
  EventLoop* const m_loop;
  const std::function<void(int)> m_on_signal;
  int m_read_fd = -1;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SIGNAL_PIPE_H_
