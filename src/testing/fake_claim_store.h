#ifndef SRC_TESTING_FAKE_CLAIM_STORE_H_
#define SRC_TESTING_FAKE_CLAIM_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "wasabihook/claim_store.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::testing {

// In-memory claim store. Answers from the timer service after a delay.
class FakeClaimStore : public ClaimStore {
 public:
  explicit FakeClaimStore(TimerService* timers);

  void Claim(ClaimKey key,
             Fingerprint fingerprint,
             TimePoint deadline,
             std::function<void(ClaimResult)> done) override;
  void Record(ClaimKey key,
              std::string nonce,
              OperationOutcome outcome) override;

  void SetDelay(Duration delay);
  // Claims are refused before they take effect.
  void SetUnavailable(bool unavailable);
  // The next `count` claims take effect but are reported as kUnavailable.
  void LoseResponses(uint32_t count);
  // Empty if there is no claim or no outcome.
  std::optional<OperationOutcome> OutcomeOf(const ClaimKey& key) const;
  // Number of claims whose grant reached the holder and that have no recorded
  // outcome.
  size_t ClaimsWithoutOutcome() const;

 private:
  struct Entry {
    Fingerprint fingerprint;
    std::string nonce;
    std::optional<OperationOutcome> outcome;
    bool granted = false;
  };
  using Key = std::pair<TeamId, IdempotencyKey>;

  ClaimResult ApplyClaim(const ClaimKey& key, Fingerprint fingerprint);

  TimerService* const m_timers;
  mutable std::mutex m_mutex;
  std::map<Key, Entry> m_entries;
  Duration m_delay{0};
  bool m_unavailable = false;
  uint32_t m_responses_to_lose = 0;
  uint64_t m_next_nonce = 1;
  // Pending callbacks hold a weak pointer, which expires with the fake.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_CLAIM_STORE_H_
