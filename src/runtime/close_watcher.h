#ifndef SRC_RUNTIME_CLOSE_WATCHER_H_
#define SRC_RUNTIME_CLOSE_WATCHER_H_

// PRIVATE HEADER.

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace wasabihook {

// Detects that the peer closed a connection from which no thread reads. Uses
// one epoll thread, started by the first Watch(). Thread-safe.
class CloseWatcher {
 public:
  CloseWatcher() = default;
  ~CloseWatcher();
  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

  // Calls `callback` once, on the watcher thread, when the peer closes or
  // half-closes `socket`. `socket` must stay open until Unwatch(). Throws
  // std::system_error.
  uint64_t Watch(int socket, std::function<void()> callback);
  // A callback that is already running may finish after this returns.
  void Unwatch(uint64_t id);
  // Joins the thread; must not be called from a callback.
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
