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

// Claims in memory. Answers after a delay through the timer service.
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
  // Claims are refused without effect.
  void SetUnavailable(bool unavailable);
  // The next claims take effect but are reported as kUnavailable.
  void LoseResponses(uint32_t count);
  // Empty if there is no claim or no outcome.
  std::optional<OperationOutcome> OutcomeOf(const ClaimKey& key) const;
  // Claims whose holder knows that it holds them and has recorded no outcome.
  size_t ClaimsWithoutOutcome() const;

 private:
  struct Entry {
    Fingerprint fingerprint;
    std::string nonce;
    std::optional<OperationOutcome> outcome;
    bool granted = false;
  };
  using Key = std::pair<TeamId, IdempotencyKey>;

  ClaimResult Decide(const ClaimKey& key, Fingerprint fingerprint);

  TimerService* const m_timers;
  mutable std::mutex m_mutex;
  std::map<Key, Entry> m_entries;
  Duration m_delay{0};
  bool m_unavailable = false;
  uint32_t m_lose = 0;
  uint64_t m_next_nonce = 1;
  // Expires with the fake.
  const std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_CLAIM_STORE_H_
