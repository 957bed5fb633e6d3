#ifndef WASABIHOOK_CLAIM_STORE_H_
#define WASABIHOOK_CLAIM_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Identifies an operation of a team; re-sends of a request share the key.
struct ClaimKey {
  TeamId team;
  IdempotencyKey idempotency_key;
};

// Outcome stored with a claim and returned to re-sends of the request.
struct OperationOutcome {
  RunState run_state = RunState::kUnknown;
  std::vector<std::string> rows;
  SnapshotId snapshot;
  // The rows were too large or not valid UTF-8 and were not stored; `rows` is
  // empty.
  bool rows_dropped = false;
};

enum class ClaimStatus : uint8_t {
  kGranted,      // This call holds the claim; the operation may be sent once.
  kAlreadyDone,  // Ran earlier; `outcome` is the recorded outcome.
  kHeld,         // Claimed earlier without a recorded outcome; may have run.
  kMismatch,     // The key was claimed with another body fingerprint.
  kUnavailable,  // The platform did not confirm the claim; the operation must
                 // not run under this nonce.
};

struct ClaimResult {
  ClaimStatus status = ClaimStatus::kUnavailable;
  OperationOutcome outcome;  // Valid for kAlreadyDone.
  // Identifies the grant; passed to Record().
  std::string nonce;
};

// Ensures at-most-once execution of operations with compare-and-swap on the
// platform. Thread-safe. Claim() invokes its callback exactly once, never
// synchronously.
class ClaimStore {
 public:
  virtual ~ClaimStore() = default;

  // If the result of the claim write is unknown, reads the claim back until
  // `deadline` to find out.
  virtual void Claim(ClaimKey key,
                     Fingerprint fingerprint,
                     TimePoint deadline,
                     std::function<void(ClaimResult)> done) = 0;
  // Records the outcome of the run that was granted with `nonce`. Retries in
  // the background while the platform is unavailable. Never overwrites an
  // outcome that is already recorded.
  virtual void Record(ClaimKey key,
                      std::string nonce,
                      OperationOutcome outcome) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_CLAIM_STORE_H_
