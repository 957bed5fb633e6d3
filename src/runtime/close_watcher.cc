#include "runtime/close_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace wasabihook {
namespace {

constexpr uint64_t kWakeEventId = 0;

void AddToEpoll(int epoll, int fd, uint32_t events, uint64_t id) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = id;
  if (epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::system_error(errno, std::generic_category(), "epoll_ctl");
}

}  // namespace

CloseWatcher::~CloseWatcher() {
  Stop();
}

void CloseWatcher::Start() {
  m_epoll_fd = epoll_create1(EPOLL_CLOEXEC);
  m_wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (m_epoll_fd < 0 || m_wake_fd < 0)
    throw std::system_error(errno, std::generic_category(), "epoll");
  AddToEpoll(m_epoll_fd, m_wake_fd, EPOLLIN, kWakeEventId);
  m_thread = std::thread([this, epoll = m_epoll_fd] { Run(epoll); });
}

uint64_t CloseWatcher::Watch(int socket, std::function<void()> callback) {
  std::lock_guard lock(m_mutex);
  const uint64_t id = m_next_id++;
  if (m_stopped)
    return id;
  if (!m_thread.joinable())
    Start();
  AddToEpoll(m_epoll_fd, socket, EPOLLRDHUP | EPOLLONESHOT, id);
  m_entries.emplace(id, Entry{socket, std::move(callback)});
  return id;
}

void CloseWatcher::Unwatch(uint64_t id) {
  // Destroyed after the lock is released, since destructors of captured objects
  // may run arbitrary code.
  std::unordered_map<uint64_t, Entry>::node_type removed;
  std::lock_guard lock(m_mutex);
  removed = m_entries.extract(id);
  if (removed)
    epoll_ctl(m_epoll_fd, EPOLL_CTL_DEL, removed.mapped().socket, nullptr);
}

void CloseWatcher::Run(int epoll) {
  std::array<epoll_event, 64> events{};
  while (true) {
    const int count = epoll_wait(epoll, events.data(), events.size(), -1);
    for (int i = 0; i < count; ++i) {
      const uint64_t id = events.at(static_cast<size_t>(i)).data.u64;
      std::function<void()> callback;
      {
        std::lock_guard lock(m_mutex);
        if (m_stopped)
          return;
        if (const auto found = m_entries.find(id); found != m_entries.end())
          callback = std::move(found->second.callback);
      }
      if (callback)
        callback();
    }
  }
}

void CloseWatcher::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopped = true;
    if (m_wake_fd >= 0)
      eventfd_write(m_wake_fd, 1);
  }
  if (m_thread.joinable())
    m_thread.join();
  std::lock_guard lock(m_mutex);
  for (int* fd : {&m_epoll_fd, &m_wake_fd}) {
    if (*fd >= 0)
      close(*fd);
    *fd = -1;
  }
}

}  // namespace wasabihook
