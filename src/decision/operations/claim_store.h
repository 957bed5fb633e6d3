#ifndef SRC_DECISION_OPERATIONS_CLAIM_STORE_H_
#define SRC_DECISION_OPERATIONS_CLAIM_STORE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "decision/operations/claim_context.h"
#include "decision/operations/claim_finisher.h"
#include "decision/operations/claim_record.h"
#include "wasabihook/claim_store.h"

namespace wasabihook {

// Stores each claim under a platform key of its own. The design is explained in
// docs/decisions/operation-claims.md.
class KeyValueClaimStore : public ClaimStore {
 public:
  explicit KeyValueClaimStore(ClaimStoreDeps deps);

  void Claim(ClaimKey key,
             Fingerprint fingerprint,
             TimePoint deadline,
             std::function<void(ClaimResult)> done) override;
  void Record(ClaimKey key,
              std::string nonce,
              OperationOutcome outcome) override;

  // Claims whose outcome or withdrawal is not stored yet.
  size_t unfinished() const;

 private:
  class Attempt;
  // A granted claim as stored.
  struct Grant {
    ClaimRecord record;
    Revision revision;
  };
  // Shared with attempts, which may outlive this object.
  struct Shared {
    explicit Shared(ClaimStoreDeps d);
    const ClaimStoreDeps deps;
    const std::shared_ptr<ClaimFinisher> finisher;
    std::mutex mutex;
    std::unordered_map<std::string, Grant> grants;
  };

  std::string MakeNonce();

  const std::shared_ptr<Shared> m_shared;
  std::atomic<uint64_t> m_next_nonce{1};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_STORE_H_
