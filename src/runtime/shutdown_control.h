#ifndef SRC_RUNTIME_SHUTDOWN_CONTROL_H_
#define SRC_RUNTIME_SHUTDOWN_CONTROL_H_

// PRIVATE HEADER.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

#include "wasabihook/units.h"

namespace wasabihook {

// Counts requests to shut down and wakes the thread that carries them out.
// Thread-safe.
class ShutdownControl {
 public:
  // The first call asks for a drain, the second for an end without it.
  void Request();
  // Wakes waiters, so that they check their condition again.
  void Wake();
  // Waits for the first request.
  void WaitForRequest();
  // Waits up to `limit` until `done` holds or an end without drain is asked
  // for. Returns whether `done` holds. `done` is called without locks.
  bool WaitUntil(Duration limit, const std::function<bool()>& done);
  bool requested() const;
  // True from the second request on.
  bool forced() const;

 private:
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  uint32_t m_requests = 0;
  uint64_t m_wakes = 0;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_SHUTDOWN_CONTROL_H_
