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

// BackendTransport whose replies the test gives. Answers by itself only when a
// sub-request is cancelled (kCancelled) or `grace` after its time is over
// (kTimedOut).
// Thread-safe; callbacks come from the timer service or from Deliver().
class FakeBackendTransport : public BackendTransport {
 public:
  using OnSend = std::function<void(const SubRequest&)>;

  explicit FakeBackendTransport(TimerService* timers,
                                Duration grace = Duration(0));

  void Send(SubRequest request, SubReplyCallback done) override;
  void Cancel(const SubRequestId& id) override;
  void SetConnectionLimit(const ServerId& server, uint32_t limit) override;

  // Called for each Send(), before it returns.
  void SetOnSend(OnSend hook);
  // Calls the callback of `id` with `reply`, even if it was called before or
  // the reply has another id. Unknown ids are ignored.
  void Deliver(const SubRequestId& id, SubReply reply);
  void Fail(const SubRequestId& id, SubOutcome outcome);
  // A valid reply of a server that searched `records` records.
  void Answer(const SubRequestId& id,
              uint64_t records,
              std::vector<std::string> rows);

  // In the order of sending.
  std::vector<SubRequest> Sent() const;
  // Without an answer so far and not cancelled.
  std::vector<SubRequest> Outstanding() const;
  std::vector<SubRequestId> Cancelled() const;

 private:
  struct Entry {
    SubRequest request;
    SubReplyCallback done;
    bool answered = false;
    bool cancelled = false;
  };

  // Delivers unless the sub-request was answered before.
  void DeliverFirst(const SubRequestId& id, SubOutcome outcome);
  void After(Duration delay, std::function<void()> callback);

  TimerService* const m_timers;
  const Duration m_grace;
  mutable std::mutex m_mutex;
  OnSend m_on_send;
  std::vector<Entry> m_entries;
  std::map<SubRequestId, size_t> m_by_id;
  // Expires with the fake.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKEND_TRANSPORT_H_
