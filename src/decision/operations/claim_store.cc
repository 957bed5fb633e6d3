#include "decision/operations/claim_store.h"

#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

ClaimResult WithStatus(ClaimStatus status) {
  ClaimResult result;
  result.status = status;
  return result;
}

}  // namespace

// One call of Claim(). Platform calls of an attempt are sequential. Only the
// deadline timer runs concurrently; `m_answered` decides which of them invokes
// the callback.
class KeyValueClaimStore::Attempt
    : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(std::shared_ptr<Shared> shared,
          ClaimKey key,
          ClaimRecord record,
          std::function<void(ClaimResult)> done)
      : m_shared(std::move(shared)),
        m_key(std::move(key)),
        m_path(ClaimPath(m_key)),
        m_record(std::move(record)),
        m_done(std::move(done)) {}

  void Start(TimePoint deadline) {
    TimerService* timers = m_shared->deps.timers;
    const Duration left = deadline - timers->Now();
    m_deadline_timer = timers->SubscribeOnce(
        std::max(left, Duration(0)),
        [self = shared_from_this()] { self->OnDeadline(); });
    if (left > Duration(0)) {
      Write(Revision(0));
    }
  }

 private:
  void OnDeadline() { Answer(WithStatus(ClaimStatus::kUnavailable)); }

  // Returns false if the callback was invoked before.
  bool Answer(ClaimResult result) {
    if (m_answered.exchange(true)) {
      return false;
    }
    m_done(std::move(result));
    return true;
  }

  void AnswerAndEnd(ClaimResult result) {
    if (Answer(std::move(result))) {
      m_shared->deps.timers->Unsubscribe(m_deadline_timer);
    }
  }

  void Write(Revision expected) {
    m_expected = expected;
    m_shared->deps.store->CompareAndSwap(
        m_path, expected, EncodeClaim(m_record),
        [self = shared_from_this()](const WriteResult& result) {
          self->OnWritten(result);
        });
  }

  void OnWritten(const WriteResult& result) {
    switch (result.status) {
      case StoreStatus::kOk:
        Grant(result.revision);
        return;
      case StoreStatus::kConflict:
        if (result.current) {
          OnStoredClaim(*result.current);
        } else {
          ReadBack();
        }
        return;
      case StoreStatus::kUnknown:
        m_write_outcome_unknown = true;
        Notify(ClaimEvent::kWriteOutcomeUnknown);
        ReadBack();
        return;
      case StoreStatus::kUnavailable:
      case StoreStatus::kTooLarge:
      case StoreStatus::kNotFound:
        // This write had no effect, but an earlier one may have had.
        if (m_write_outcome_unknown) {
          ReadBackLater();
        } else {
          AnswerAndEnd(WithStatus(ClaimStatus::kUnavailable));
        }
        return;
    }
  }

  void ReadBack() {
    if (EndIfAnswered()) {
      return;
    }
    m_shared->deps.store->Get(
        m_path, [self = shared_from_this()](const GetResult& result) {
          self->OnRead(result);
        });
  }

  void ReadBackLater() {
    m_shared->deps.timers->SubscribeOnce(
        m_backoff.Next(m_shared->deps.random),
        [self = shared_from_this()] { self->ReadBack(); });
  }

  // Repeating the write is safe, whichever takes effect, because the nonce is
  // the same.
  void WriteAgainLater() {
    m_shared->deps.timers->SubscribeOnce(m_backoff.Next(m_shared->deps.random),
                                         [self = shared_from_this()] {
                                           if (!self->EndIfAnswered()) {
                                             self->Write(Revision(0));
                                           }
                                         });
  }

  void OnRead(const GetResult& result) {
    if (result.status == StoreStatus::kOk) {
      OnStoredClaim(result.entry);
    } else if (EndIfAnswered()) {
      return;
    } else if (result.status == StoreStatus::kNotFound) {
      WriteAgainLater();
    } else {
      ReadBackLater();
    }
  }

  void OnStoredClaim(const KeyValue& entry) {
    const std::optional<ClaimRecord> stored = DecodeClaim(entry.value);
    if (!stored) {
      Notify(ClaimEvent::kInvalidValue);
      AnswerAndEnd(WithStatus(ClaimStatus::kHeld));
    } else if (stored->nonce == m_record.nonce) {
      Grant(entry.revision);
    } else if (stored->fingerprint != m_record.fingerprint) {
      AnswerAndEnd(WithStatus(ClaimStatus::kMismatch));
    } else if (stored->state == ClaimState::kDone) {
      ClaimResult result = WithStatus(ClaimStatus::kAlreadyDone);
      result.outcome = stored->outcome;
      AnswerAndEnd(std::move(result));
    } else if (stored->state == ClaimState::kClaimed) {
      AnswerAndEnd(WithStatus(ClaimStatus::kHeld));
    } else if (!EndIfAnswered()) {
      // If several requests claim the key again, compare-and-swap lets exactly
      // one succeed.
      Write(entry.revision);
    }
  }

  // The claim is stored with the nonce of this attempt at `revision`.
  void Grant(Revision revision) {
    {
      std::lock_guard lock(m_shared->mutex);
      // For claims that are not kept here, Record() reads the stored claim.
      if (m_shared->grants.size() < config::kMaxUnfinishedClaims) {
        m_shared->grants[m_record.nonce] = {m_record, revision};
      }
    }
    ClaimResult result = WithStatus(ClaimStatus::kGranted);
    result.nonce = m_record.nonce;
    if (Answer(std::move(result))) {
      m_shared->deps.timers->Unsubscribe(m_deadline_timer);
      return;
    }
    {
      std::lock_guard lock(m_shared->mutex);
      m_shared->grants.erase(m_record.nonce);
    }
    Withdraw(m_record, revision);
  }

  // Returns true if the deadline has passed; in that case withdraws a claim
  // that may be stored already or by a delayed write.
  bool EndIfAnswered() {
    if (!m_answered) {
      return false;
    }
    if (m_write_outcome_unknown) {
      Withdraw(std::nullopt, Revision(0));
    }
    return true;
  }

  void Withdraw(std::optional<ClaimRecord> record, Revision revision) {
    OperationOutcome not_run;
    not_run.run_state = RunState::kNotRun;
    m_shared->finisher->Add({.key = m_key,
                             .nonce = m_record.nonce,
                             .outcome = std::move(not_run),
                             .record = std::move(record),
                             .revision = revision,
                             .blocker = m_record,
                             .late_write = m_expected});
  }

  void Notify(ClaimEvent event) {
    if (m_shared->deps.on_event) {
      m_shared->deps.on_event(event, m_key);
    }
  }

  const std::shared_ptr<Shared> m_shared;
  const ClaimKey m_key;
  const std::string m_path;
  const ClaimRecord m_record;
  const std::function<void(ClaimResult)> m_done;
  TimerHandle m_deadline_timer;
  std::atomic<bool> m_answered{false};
  // A write of this attempt may have taken effect or may still do so.
  bool m_write_outcome_unknown = false;
  // Revision that the latest write expected. Earlier writes expected older
  // revisions and can no longer take effect.
  Revision m_expected;
  ClaimBackoff m_backoff{config::kClaimRetryBaseDelay,
                         config::kClaimRetryMaxDelay};
};

KeyValueClaimStore::Shared::Shared(ClaimStoreDeps d)
    : deps(std::move(d)), finisher(std::make_shared<ClaimFinisher>(deps)) {}

KeyValueClaimStore::KeyValueClaimStore(ClaimStoreDeps deps)
    : m_shared(std::make_shared<Shared>(std::move(deps))) {}

void KeyValueClaimStore::Claim(ClaimKey key,
                               Fingerprint fingerprint,
                               TimePoint deadline,
                               std::function<void(ClaimResult)> done) {
  ClaimRecord record{.instance = m_shared->deps.instance,
                     .incarnation = m_shared->deps.incarnation,
                     .nonce = MakeNonce(),
                     .fingerprint = fingerprint,
                     .state = ClaimState::kClaimed,
                     .outcome = {},
                     .claimed_at = m_shared->deps.timers->WallNow()};
  std::make_shared<Attempt>(m_shared, std::move(key), std::move(record),
                            std::move(done))
      ->Start(deadline);
}

void KeyValueClaimStore::Record(ClaimKey key,
                                std::string nonce,
                                OperationOutcome outcome) {
  ClaimFinishTask finish{.key = std::move(key),
                         .nonce = std::move(nonce),
                         .outcome = std::move(outcome),
                         .record = {},
                         .revision = {},
                         .blocker = {},
                         .late_write = {}};
  {
    std::lock_guard lock(m_shared->mutex);
    if (auto grant = m_shared->grants.extract(finish.nonce)) {
      finish.record = std::move(grant.mapped().record);
      finish.revision = grant.mapped().revision;
    }
  }
  m_shared->finisher->Add(std::move(finish));
}

size_t KeyValueClaimStore::unfinished() const {
  return m_shared->finisher->unfinished();
}

// Unique across instances, restarts and calls, even if random numbers repeat.
std::string KeyValueClaimStore::MakeNonce() {
  const ClaimStoreDeps& deps = m_shared->deps;
  return deps.instance.value() + "." +
         std::to_string(deps.incarnation.value()) + "." +
         std::to_string(m_next_nonce++) + "." + std::to_string(deps.random());
}

}  // namespace wasabihook
