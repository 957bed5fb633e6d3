#include "testing/fake_backend_transport.h"

#include <utility>

namespace wasabihook::testing {

FakeBackendTransport::FakeBackendTransport(TimerService* timers, Duration grace)
    : m_timers(timers), m_grace(grace) {}

void FakeBackendTransport::Send(SubRequest request, SubReplyCallback done) {
  OnSend hook;
  {
    std::lock_guard lock(m_mutex);
    m_by_id[request.id] = m_entries.size();
    Entry entry;
    entry.request = request;
    entry.done = std::move(done);
    m_entries.push_back(std::move(entry));
    hook = m_on_send;
  }
  After(request.remaining + m_grace,
        [this, id = request.id] { DeliverFirst(id, SubOutcome::kTimedOut); });
  if (hook) {
    hook(request);
  }
}

void FakeBackendTransport::Cancel(const SubRequestId& id) {
  {
    std::lock_guard lock(m_mutex);
    const auto it = m_by_id.find(id);
    if (it == m_by_id.end()) {
      return;
    }
    m_entries[it->second].cancelled = true;
  }
  After(Duration(0), [this, id] { DeliverFirst(id, SubOutcome::kCancelled); });
}

void FakeBackendTransport::SetConnectionLimit(const ServerId& /*server*/,
                                              uint32_t /*limit*/) {}

void FakeBackendTransport::SetOnSend(OnSend hook) {
  std::lock_guard lock(m_mutex);
  m_on_send = std::move(hook);
}

void FakeBackendTransport::Deliver(const SubRequestId& id, SubReply reply) {
  SubReplyCallback done;
  {
    std::lock_guard lock(m_mutex);
    const auto it = m_by_id.find(id);
    if (it == m_by_id.end()) {
      return;
    }
    m_entries[it->second].answered = true;
    done = m_entries[it->second].done;
  }
  done(std::move(reply));
}

void FakeBackendTransport::Fail(const SubRequestId& id, SubOutcome outcome) {
  SubReply reply;
  reply.id = id;
  reply.outcome = outcome;
  Deliver(id, std::move(reply));
}

void FakeBackendTransport::Answer(const SubRequestId& id,
                                  uint64_t records,
                                  std::vector<std::string> rows) {
  SubReply reply;
  reply.id = id;
  reply.outcome = SubOutcome::kOk;
  reply.records_searched = records;
  reply.rows = std::move(rows);
  {
    std::lock_guard lock(m_mutex);
    reply.snapshot = m_entries.at(m_by_id.at(id)).request.snapshot;
  }
  Deliver(id, std::move(reply));
}

std::vector<SubRequest> FakeBackendTransport::Sent() const {
  std::lock_guard lock(m_mutex);
  std::vector<SubRequest> sent;
  for (const Entry& entry : m_entries) {
    sent.push_back(entry.request);
  }
  return sent;
}

std::vector<SubRequest> FakeBackendTransport::Outstanding() const {
  std::lock_guard lock(m_mutex);
  std::vector<SubRequest> outstanding;
  for (const Entry& entry : m_entries) {
    if (!entry.answered && !entry.cancelled) {
      outstanding.push_back(entry.request);
    }
  }
  return outstanding;
}

std::vector<SubRequestId> FakeBackendTransport::Cancelled() const {
  std::lock_guard lock(m_mutex);
  std::vector<SubRequestId> cancelled;
  for (const Entry& entry : m_entries) {
    if (entry.cancelled) {
      cancelled.push_back(entry.request.id);
    }
  }
  return cancelled;
}

void FakeBackendTransport::DeliverFirst(const SubRequestId& id,
                                        SubOutcome outcome) {
  {
    std::lock_guard lock(m_mutex);
    if (m_entries[m_by_id.at(id)].answered) {
      return;
    }
  }
  Fail(id, outcome);
}

void FakeBackendTransport::After(Duration delay,
                                 std::function<void()> callback) {
  m_timers->SubscribeOnce(
      delay, [weak = std::weak_ptr(m_alive), callback = std::move(callback)] {
        if (!weak.expired()) {
          callback();
        }
      });
}

}  // namespace wasabihook::testing
