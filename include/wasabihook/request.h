#ifndef WASABIHOOK_REQUEST_H_
#define WASABIHOOK_REQUEST_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class RequestKind : uint8_t {
  kSearch,     // Fans out to all shard groups of an index set; idempotent.
  kFetch,      // Reads one record from its shard group; idempotent.
  kOperation,  // Changes data; not idempotent.
};

// A validated request of a caller.
struct CallerRequest {
  RequestKind kind = RequestKind::kSearch;
  RequestId id;
  TeamId team;
  IndexSetId index_set;
  // Search text, or operation body; opaque to the tier.
  std::string payload;
  // Selects the shard group of a fetch or an operation.
  std::string record_key;
  // Required for operations.
  IdempotencyKey idempotency_key;
  // When the caller first issued the operation. Required for operations.
  WallTime issued_at;
  // Time the caller is willing to wait; the team's settings bound it.
  std::optional<Duration> timeout;
};

// Identifies the data that a query reads.
struct SnapshotId {
  IndexVersion index_version;
  MapVersion map_version;
  friend auto operator<=>(const SnapshotId&, const SnapshotId&) = default;
};

// How much of the snapshot an answer covers. Counts are exact.
struct Coverage {
  uint32_t groups_asked = 0;
  uint32_t groups_covered = 0;
  uint64_t records_asked = 0;
  uint64_t records_covered = 0;
  std::vector<ShardGroupId> missing_groups;

  bool complete() const { return groups_covered == groups_asked; }
};

struct Answer {
  RequestId request_id;
  SnapshotId snapshot;
  Coverage coverage;
  Revision settings_revision;
  // One JSON document for each matching record, in shard group order.
  std::vector<std::string> rows;
  // True if the outcome of an operation came from an earlier run of the same
  // idempotency key.
  bool replayed = false;
};

// Whether the work of a failed request reached a backend server.
enum class RunState : uint8_t {
  kNotRun,   // No backend server ran any part of it.
  kRan,      // It ran, but no answer that meets the team's policy came of it.
  kUnknown,  // It may have run.
};

enum class ErrorCode : uint8_t {
  kInvalidRequest,
  kUnknownTeam,
  kUnknownIndexSet,
  kOverloaded,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kCoverageTooLow,
  kSnapshotUnavailable,
  kQuarantined,
  kPlatformUnavailable,
  kClaimConflict,  // Same idempotency key with another body, or still running.
  kRequestTooOld,
  kBackendFailed,
  kShuttingDown,
  kNoSettings,
};

struct ErrorAnswer {
  RequestId request_id;
  ErrorCode code = ErrorCode::kBackendFailed;
  RunState run_state = RunState::kUnknown;
  // One sentence for the caller; holds no data of other callers.
  std::string message;
  // When a retry may succeed, if known.
  std::optional<Duration> retry_after;
};

using Reply = std::variant<Answer, ErrorAnswer>;
using ReplyCallback = std::function<void(Reply)>;

// Stable names used on the wire and in metrics, such as "not_run" and
// "deadline_exceeded".
std::string ToString(RunState state);
std::string ToString(ErrorCode code);
std::string ToString(RequestKind kind);

}  // namespace wasabihook

#endif  // WASABIHOOK_REQUEST_H_
