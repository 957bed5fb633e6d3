#ifndef WASABIHOOK_CLAIM_STORE_H_
#define WASABIHOOK_CLAIM_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Identifies one run of one operation.
struct ClaimKey {
  TeamId team;
  IdempotencyKey idempotency_key;
};

// Outcome kept with a claim, returned to re-sends.
struct OperationOutcome {
  RunState run_state = RunState::kUnknown;
  std::vector<std::string> rows;
  SnapshotId snapshot;
  // The rows were too large to be kept; `rows` is empty.
  bool rows_dropped = false;
};

enum class ClaimStatus : uint8_t {
  kGranted,  // This caller of Claim() holds the claim and may dispatch once.
  kAlreadyDone,  // `outcome` is the recorded one.
  kHeld,         // Claimed earlier, no outcome recorded: may have run.
  kMismatch,     // Same key with another fingerprint.
  kUnavailable,  // The platform did not answer; no claim is held and the
                 // operation must not run under this nonce.
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  OperationOutcome outcome;  // Valid for kAlreadyDone.
  // Proof of the grant, passed to Record().
  std::string nonce;
};

// Makes operations at-most-once through the platform's compare-and-swap.
// Thread-safe; each call leads to one callback, never from within the call.
class ClaimStore {
 public:
  virtual ~ClaimStore() = default;

  // Settles an unclear write by reading it back until `deadline`.
  virtual void Claim(ClaimKey key,
                     Fingerprint fingerprint,
                     TimePoint deadline,
                     std::function<void(ClaimResult)> done) = 0;
  // Records the outcome of the run granted as `nonce`. Keeps trying in the
  // background while the platform is down. Never overwrites another outcome.
  virtual void Record(ClaimKey key,
                      std::string nonce,
                      OperationOutcome outcome) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_CLAIM_STORE_H_
