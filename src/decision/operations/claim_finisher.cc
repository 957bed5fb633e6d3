#include "decision/operations/claim_finisher.h"

#include <utility>

namespace wasabihook {

ClaimFinisher::ClaimFinisher(ClaimStoreDeps deps) : m_deps(std::move(deps)) {}

void ClaimFinisher::Add(ClaimFinishTask finish) {
  Task task = std::make_shared<ClaimFinishTask>(std::move(finish));
  {
    std::unique_lock lock(m_mutex);
    if (m_queue.size() >= config::kMaxUnfinishedClaims) {
      lock.unlock();
      Notify(task, ClaimEvent::kGivenUp);
      return;
    }
    m_queue.push_back(std::move(task));
  }
  StartQueuedTasks();
}

size_t ClaimFinisher::unfinished() const {
  std::lock_guard lock(m_mutex);
  return m_queue.size() + m_in_flight;
}

void ClaimFinisher::StartQueuedTasks() {
  for (;;) {
    Task task;
    {
      std::lock_guard lock(m_mutex);
      if (m_backing_off || m_queue.empty() ||
          m_in_flight >= config::kMaxClaimFinishesInFlight) {
        return;
      }
      task = std::move(m_queue.front());
      m_queue.pop_front();
      m_in_flight++;
    }
    task->attempts++;
    if (task->record) {
      WriteAt(task, task->revision, *task->record);
    } else {
      Read(task);
    }
  }
}

void ClaimFinisher::WriteAt(const Task& task,
                            Revision revision,
                            ClaimRecord record) {
  task->record = record;
  task->revision = revision;
  SetOutcome(record, task->outcome);
  m_deps.store->CompareAndSwap(
      ClaimPath(task->key), revision, EncodeClaim(std::move(record)),
      [self = shared_from_this(), task](WriteResult result) {
        self->OnWritten(task, std::move(result));
      });
}

void ClaimFinisher::OnWritten(const Task& task, WriteResult result) {
  switch (result.status) {
    case StoreStatus::kOk:
      FinishStored(task);
      return;
    case StoreStatus::kConflict:
      if (result.current) {
        OnStoredClaim(task, *result.current);
      } else {
        Read(task);
      }
      return;
    case StoreStatus::kTooLarge:
      task->outcome.rows.clear();
      task->outcome.rows_dropped = true;
      Retry(task);
      return;
    case StoreStatus::kUnknown:
      // The write may have taken effect, so the next attempt reads first.
      task->record.reset();
      Retry(task);
      return;
    case StoreStatus::kNotFound:
    case StoreStatus::kUnavailable:
      Retry(task);
      return;
  }
}

void ClaimFinisher::Read(const Task& task) {
  m_deps.store->Get(ClaimPath(task->key),
                    [self = shared_from_this(), task](const GetResult& result) {
                      if (result.status == StoreStatus::kOk) {
                        self->OnStoredClaim(task, result.entry);
                      } else if (result.status == StoreStatus::kNotFound) {
                        self->BlockLateWrite(task, Revision(0));
                      } else {
                        self->Retry(task);
                      }
                    });
}

void ClaimFinisher::OnStoredClaim(const Task& task, const KeyValue& entry) {
  std::optional<ClaimRecord> stored = DecodeClaim(entry.value);
  if (!stored) {
    Finish(task, ClaimEvent::kInvalidValue);
    return;
  }
  if (stored->nonce != task->nonce) {
    BlockLateWrite(task, entry.revision);
    return;
  }
  if (stored->state == ClaimState::kClaimed) {
    WriteAt(task, entry.revision, *std::move(stored));
    return;
  }
  // An earlier write of this task took effect, or another Record() call stored
  // its outcome first.
  FinishStored(task);
}

// The store does not hold the claim of `task`; its key is at `revision`.
void ClaimFinisher::BlockLateWrite(const Task& task, Revision revision) {
  if (!task->blocker) {
    Finish(task, ClaimEvent::kOutcomeNotStored);
    return;
  }
  if (revision != task->late_write) {
    // Revisions never repeat, so the delayed write fails.
    Finish(task, ClaimEvent::kWithdrawn);
    return;
  }
  WriteAt(task, revision, *task->blocker);
}

void ClaimFinisher::Retry(const Task& task) {
  if (task->attempts >= config::kMaxClaimFinishAttempts) {
    Finish(task, ClaimEvent::kGivenUp);
    return;
  }
  std::unique_lock lock(m_mutex);
  m_in_flight--;
  m_queue.push_back(task);
  if (m_backing_off) {
    return;
  }
  m_backing_off = true;
  const Duration delay = m_backoff.Next(m_deps.random);
  lock.unlock();
  m_deps.timers->SubscribeOnce(delay, [self = shared_from_this()] {
    {
      std::lock_guard lock(self->m_mutex);
      self->m_backing_off = false;
    }
    self->StartQueuedTasks();
  });
}

void ClaimFinisher::FinishStored(const Task& task) {
  Finish(task, task->blocker ? ClaimEvent::kWithdrawn : ClaimEvent::kRecorded);
}

void ClaimFinisher::Finish(const Task& task, ClaimEvent event) {
  {
    std::lock_guard lock(m_mutex);
    m_in_flight--;
    if (event != ClaimEvent::kGivenUp) {
      m_backoff.Reset();
    }
  }
  Notify(task, event);
  StartQueuedTasks();
}

void ClaimFinisher::Notify(const Task& task, ClaimEvent event) {
  if (m_deps.on_event) {
    m_deps.on_event(event, task->key);
  }
}

}  // namespace wasabihook
