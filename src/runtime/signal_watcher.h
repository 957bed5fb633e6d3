#ifndef SRC_RUNTIME_SIGNAL_WATCHER_H_
#define SRC_RUNTIME_SIGNAL_WATCHER_H_

// PRIVATE HEADER.

#include <functional>
#include <thread>

namespace wasabihook {

// Blocks SIGTERM and SIGINT in the calling thread and all threads it starts
// later, and ignores SIGPIPE. Call first in main().
void BlockTerminationSignals();

// Calls `on_signal` with the signal number for each SIGTERM or SIGINT, on a
// dedicated thread that waits in sigwait().
class SignalWatcher {
 public:
  explicit SignalWatcher(std::function<void(int)> on_signal);
  // Must not be called from the callback.
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  std::function<void(int)> m_on_signal;
  std::thread m_thread;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_SIGNAL_WATCHER_H_
