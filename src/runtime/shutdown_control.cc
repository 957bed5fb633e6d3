#include "runtime/shutdown_control.h"

#include <chrono>

namespace wasabihook {

void ShutdownControl::Request() {
  std::lock_guard lock(m_mutex);
  ++m_requests;
  m_changed.notify_all();
}

void ShutdownControl::Wake() {
  std::lock_guard lock(m_mutex);
  ++m_wakes;
  m_changed.notify_all();
}

void ShutdownControl::WaitForRequest() {
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_requests > 0; });
}

bool ShutdownControl::WaitUntil(Duration limit,
                                const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (true) {
    std::unique_lock lock(m_mutex);
    const uint64_t wakes = m_wakes;
    lock.unlock();
    if (done())
      return true;
    lock.lock();
    const bool woken = m_changed.wait_until(
        lock, end, [&] { return m_requests > 1 || m_wakes != wakes; });
    if (!woken || m_requests > 1) {
      lock.unlock();
      return done();
    }
  }
}

bool ShutdownControl::requested() const {
  std::lock_guard lock(m_mutex);
  return m_requests > 0;
}

bool ShutdownControl::forced() const {
  std::lock_guard lock(m_mutex);
  return m_requests > 1;
}

}  // namespace wasabihook
