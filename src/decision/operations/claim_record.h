#ifndef SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_
#define SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_

// Stored form of claims: their keys in the platform and their JSON values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wasabihook/claim_store.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class ClaimState : uint8_t {
  kClaimed,  // Granted, or unclear to its writer; may run.
  kDone,     // `outcome` is recorded.
  kNotRun,   // Proven not to have run; may be claimed again.
};

// One claim as it is stored.
struct ClaimRecord {
  InstanceId instance;
  Incarnation incarnation;
  std::string nonce;
  Fingerprint fingerprint;
  ClaimState state = ClaimState::kClaimed;
  OperationOutcome outcome;  // Valid for kDone.
  WallTime claimed_at;
};

// Rows that are too large or not valid UTF-8 are dropped, which the outcome
// states.
std::string EncodeClaim(ClaimRecord record);
// Empty if the value breaks the format or has another version.
std::optional<ClaimRecord> DecodeClaim(std::string_view value);

// Bucket of a key: XXH64(idempotency key) mod config::kClaimBuckets.
uint32_t ClaimBucket(const IdempotencyKey& key);
// Prefix of all claims of one bucket, and of all claims.
std::string ClaimBucketPrefix(const TeamId& team, uint32_t bucket);
inline constexpr std::string_view kClaimPrefix = "claims/";
// Key of the claim in the platform.
std::string ClaimPath(const ClaimKey& key);

// Outcome of a finished claim moved into its record: a run state of kNotRun
// frees the key for another claim.
void SetOutcome(ClaimRecord& record, OperationOutcome outcome);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_CLAIM_RECORD_H_
