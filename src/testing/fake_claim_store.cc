#include "testing/fake_claim_store.h"

#include <algorithm>

namespace wasabihook::testing {

FakeClaimStore::FakeClaimStore(TimerService* timers) : m_timers(timers) {}

void FakeClaimStore::Claim(ClaimKey key,
                           Fingerprint fingerprint,
                           TimePoint /*deadline*/,
                           std::function<void(ClaimResult)> done) {
  Duration delay{0};
  {
    std::lock_guard lock(m_mutex);
    delay = m_delay;
  }
  m_timers->SubscribeOnce(
      delay, [this, weak = std::weak_ptr(m_alive), key = std::move(key),
              fingerprint, done = std::move(done)] {
        if (!weak.expired()) {
          done(ApplyClaim(key, fingerprint));
        }
      });
}

ClaimResult FakeClaimStore::ApplyClaim(const ClaimKey& key,
                                       Fingerprint fingerprint) {
  std::lock_guard lock(m_mutex);
  ClaimResult result;
  if (m_unavailable) {
    return result;
  }
  Entry& entry = m_entries[{key.team, key.idempotency_key}];
  const bool fresh = entry.nonce.empty();
  if (!fresh && entry.fingerprint != fingerprint) {
    result.status = ClaimStatus::kMismatch;
  } else if (fresh ||
             (entry.outcome && entry.outcome->run_state == RunState::kNotRun)) {
    entry = {fingerprint, std::to_string(m_next_nonce++), std::nullopt,
             m_responses_to_lose == 0};
    result.status = ClaimStatus::kGranted;
    result.nonce = entry.nonce;
  } else if (entry.outcome) {
    result.status = ClaimStatus::kAlreadyDone;
    result.outcome = *entry.outcome;
  } else {
    result.status = ClaimStatus::kHeld;
  }
  if (m_responses_to_lose > 0) {
    --m_responses_to_lose;
    return {};
  }
  return result;
}

void FakeClaimStore::Record(ClaimKey key,
                            std::string nonce,
                            OperationOutcome outcome) {
  std::lock_guard lock(m_mutex);
  const auto it = m_entries.find({key.team, key.idempotency_key});
  if (it != m_entries.end() && it->second.nonce == nonce &&
      !it->second.outcome) {
    it->second.outcome = std::move(outcome);
  }
}

size_t FakeClaimStore::ClaimsWithoutOutcome() const {
  std::lock_guard lock(m_mutex);
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(), [](const auto& entry) {
        return entry.second.granted && !entry.second.outcome;
      }));
}

void FakeClaimStore::SetDelay(Duration delay) {
  std::lock_guard lock(m_mutex);
  m_delay = delay;
}

void FakeClaimStore::SetUnavailable(bool unavailable) {
  std::lock_guard lock(m_mutex);
  m_unavailable = unavailable;
}

void FakeClaimStore::LoseResponses(uint32_t count) {
  std::lock_guard lock(m_mutex);
  m_responses_to_lose = count;
}

std::optional<OperationOutcome> FakeClaimStore::OutcomeOf(
    const ClaimKey& key) const {
  std::lock_guard lock(m_mutex);
  const auto it = m_entries.find({key.team, key.idempotency_key});
  return it == m_entries.end() ? std::nullopt : it->second.outcome;
}

}  // namespace wasabihook::testing
