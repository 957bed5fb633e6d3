#ifndef SRC_RUNTIME_CLOSE_WATCHER_H_
#define SRC_RUNTIME_CLOSE_WATCHER_H_

// PRIVATE HEADER.

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace wasabihook {

// Tells when the other end closes a connection that nobody reads from. Uses one
// thread, which starts with the first watch. Thread-safe.
class CloseWatcher {
 public:
  CloseWatcher() = default;
  ~CloseWatcher();
  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

  // Calls `hook` once, on the watcher's thread, when the other end of `socket`
  // closes. `socket` stays open until Unwatch(). Throws std::system_error.
  uint64_t Watch(int socket, std::function<void()> callback);
  // A hook that is already running may finish after this returns.
  void Unwatch(uint64_t id);
  // Ends the thread; must not be called from a hook.
  void Stop();

 private:
  struct Entry {
    int socket = -1;
    std::function<void()> callback;
  };

  void Start();
  void Run(int epoll);

  std::mutex m_mutex;
  bool m_stopped = false;
  int m_epoll_fd = -1;
  int m_wake_fd = -1;
  uint64_t m_next_id = 1;
  std::unordered_map<uint64_t, Entry> m_entries;
  std::thread m_thread;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_CLOSE_WATCHER_H_
