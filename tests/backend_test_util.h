#ifndef TESTS_BACKEND_TEST_UTIL_H_
#define TESTS_BACKEND_TEST_UTIL_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "testing/fake_backends/fake_fleet.h"
#include "wasabihook/backend.h"

namespace wasabihook::testing {

// Collects replies and counts the callbacks of each sub-request.
class ReplyCollector {
 public:
  SubReplyCallback CallbackFor(const SubRequestId& id) {
    return [this, id](SubReply reply) {
      std::lock_guard lock(m_mutex);
      ++m_calls[id];
      m_replies[id] = std::move(reply);
      m_changed.notify_all();
    };
  }
  // Waits for the reply. Returns a default SubReply if none arrives in 60 s.
  SubReply Wait(const SubRequestId& id) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::seconds(60),
                       [&] { return m_calls.contains(id); });
    return m_calls.contains(id) ? m_replies[id] : SubReply();
  }
  size_t calls(const SubRequestId& id) {
    std::lock_guard lock(m_mutex);
    return m_calls.contains(id) ? m_calls[id] : 0;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<SubRequestId, size_t> m_calls;
  std::map<SubRequestId, SubReply> m_replies;
};

// Polls `condition`. Returns false if it is not met within 60 s.
inline bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

inline SubRequest MakeSearch(const FakeFleet& fleet,
                             size_t server,
                             const std::string& id,
                             const std::string& query) {
  const FakeServerInfo& info = fleet.servers()[server];
  SubRequest request;
  request.id = SubRequestId(id);
  request.kind = RequestKind::kSearch;
  request.server = info.id;
  request.team = TeamId("sales-desk");
  request.index_set = IndexSetId(info.index_set);
  request.group = ShardGroupId("g" + std::to_string(info.base_group));
  request.snapshot = {IndexVersion(1), MapVersion(1)};
  request.remaining = std::chrono::seconds(30);
  request.payload = query;
  return request;
}

inline SubRequest MakeOperation(const FakeFleet& fleet,
                                size_t server,
                                const std::string& id) {
  SubRequest request = MakeSearch(fleet, server, id, "reserve");
  request.kind = RequestKind::kOperation;
  request.record_key = "record-" + id;
  request.idempotency_key = IdempotencyKey("key-" + id);
  return request;
}

inline FakeFleetOptions SmallFleet(uint32_t groups = 1, uint32_t servers = 1) {
  FakeIndexSet index_set;
  index_set.name = "lenses";
  index_set.groups = groups;
  index_set.servers_per_group = servers;
  index_set.slots = 8;
  index_set.queue = 8;
  index_set.records = 600;
  FakeFleetOptions options;
  options.index_sets = {index_set};
  return options;
}

}  // namespace wasabihook::testing

#endif  // TESTS_BACKEND_TEST_UTIL_H_
