#ifndef SRC_TESTING_FAKE_BACKEND_TRANSPORT_H_
#define SRC_TESTING_FAKE_BACKEND_TRANSPORT_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "wasabihook/backend.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::testing {

// BackendTransport whose replies are supplied by the test. On its own it only
// completes cancelled sub-requests (kCancelled) and those whose deadline has
// passed by more than `grace` (kTimedOut). Thread-safe; callbacks run on the
// timer service or in Deliver().
class FakeBackendTransport : public BackendTransport {
 public:
  using OnSend = std::function<void(const SubRequest&)>;

  explicit FakeBackendTransport(TimerService* timers,
                                Duration grace = Duration(0));

  void Send(SubRequest request, SubReplyCallback done) override;
  void Cancel(const SubRequestId& id) override;
  void SetConnectionLimit(const ServerId& server, uint32_t limit) override;

  // `hook` is called for each Send(), before Send() returns.
  void SetOnSend(OnSend hook);
  // Calls the callback of `id` with `reply`, even if the callback was already
  // called or the reply has a different id. Ignores unknown ids.
  void Deliver(const SubRequestId& id, SubReply reply);
  void Fail(const SubRequestId& id, SubOutcome outcome);
  // Delivers a valid reply of a server that searched `records` records.
  void Answer(const SubRequestId& id,
              uint64_t records,
              std::vector<std::string> rows);

  // In the order in which they were sent.
  std::vector<SubRequest> Sent() const;
  // Sub-requests that are neither answered nor cancelled.
  std::vector<SubRequest> Outstanding() const;
  std::vector<SubRequestId> Cancelled() const;

 private:
  struct Entry {
    SubRequest request;
    SubReplyCallback done;
    bool answered = false;
    bool cancelled = false;
  };

  // Fails the sub-request unless it has already been answered.
  void DeliverFirst(const SubRequestId& id, SubOutcome outcome);
  void After(Duration delay, std::function<void()> callback);

  TimerService* const m_timers;
  const Duration m_grace;
  mutable std::mutex m_mutex;
  OnSend m_on_send;
  std::vector<Entry> m_entries;
  std::map<SubRequestId, size_t> m_by_id;
  // Pending callbacks hold a weak pointer, which expires with the fake.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKEND_TRANSPORT_H_
