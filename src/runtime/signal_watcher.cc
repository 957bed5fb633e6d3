#include "runtime/signal_watcher.h"

#include <pthread.h>
#include <signal.h>

#include <utility>

namespace wasabihook {
namespace {

// Sent to the watcher thread to stop it.
constexpr int kStopSignal = SIGUSR2;

sigset_t WatchedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, kStopSignal})
    sigaddset(&signals, signal);
  return signals;
}

}  // namespace

void BlockTerminationSignals() {
  const sigset_t signals = WatchedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

SignalWatcher::SignalWatcher(std::function<void(int)> on_signal)
    : m_on_signal(std::move(on_signal)) {
  m_thread = std::thread([this] {
    const sigset_t signals = WatchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != kStopSignal)
      m_on_signal(signal);
  });
}

SignalWatcher::~SignalWatcher() {
  pthread_kill(m_thread.native_handle(), kStopSignal);
  m_thread.join();
}

}  // namespace wasabihook
