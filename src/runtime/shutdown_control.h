#ifndef SRC_RUNTIME_SHUTDOWN_CONTROL_H_
#define SRC_RUNTIME_SHUTDOWN_CONTROL_H_

// PRIVATE HEADER.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>

#include "wasabihook/units.h"

namespace wasabihook {

// Counts shutdown requests and wakes the thread that performs the shutdown.
// Thread-safe.
class ShutdownControl {
 public:
  // The first call requests a drain, the second an immediate shutdown.
  void Request();
  // Wakes waiting threads, so that they check their condition again.
  void Wake();
  // Blocks until the first request.
  void WaitForRequest();
  // Waits up to `limit` until `done` returns true or an immediate shutdown is
  // requested. Returns the last result of `done`, which is called without locks
  // held.
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
