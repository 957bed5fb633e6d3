#ifndef SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_
#define SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_

// Storage format of claims: platform keys and JSON values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wasabihook/claim_store.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class ClaimState : uint8_t {
  kClaimed,  // Granted, or its writer does not know; may run.
  kDone,     // `outcome` is recorded.
  kNotRun,   // Certain not to have run; may be claimed again.
};

// A claim as stored in the platform.
struct ClaimRecord {
  InstanceId instance;
  Incarnation incarnation;
  std::string nonce;
  Fingerprint fingerprint;
  ClaimState state = ClaimState::kClaimed;
  OperationOutcome outcome;  // Valid for kDone.
  WallTime claimed_at;
};

// Drops rows that are too large or not valid UTF-8 and sets `rows_dropped`.
std::string EncodeClaim(ClaimRecord record);
// Returns nothing if the value is malformed or of another version.
std::optional<ClaimRecord> DecodeClaim(std::string_view value);

// Bucket of a key: XXH64(idempotency key) mod config::kClaimBuckets.
uint32_t ClaimBucket(const IdempotencyKey& key);
// Key prefix of the claims of one bucket.
std::string ClaimBucketPrefix(const TeamId& team, uint32_t bucket);
// Key prefix of all claims.
inline constexpr std::string_view kClaimPrefix = "claims/";
// Platform key of a claim.
std::string ClaimPath(const ClaimKey& key);

// Stores `outcome` in `record` and sets the state that follows from it. After
// kNotRun the operation may be claimed again.
void SetOutcome(ClaimRecord& record, OperationOutcome outcome);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_
