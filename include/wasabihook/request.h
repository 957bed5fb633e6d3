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
  kSearch,     // Reads all shard groups of an index set; idempotent.
  kFetch,      // Reads one record from its shard group; idempotent.
  kOperation,  // Modifies data; not idempotent.
};

// A validated request from a caller.
struct CallerRequest {
  RequestKind kind = RequestKind::kSearch;
  RequestId id;
  TeamId team;
  IndexSetId index_set;
  // Search text or operation body; opaque to the query tier.
  std::string payload;
  // Selects the shard group of a fetch or an operation.
  std::string record_key;
  // Required for operations.
  IdempotencyKey idempotency_key;
  // When the caller first issued the operation; unchanged when it is sent
  // again. Required for operations.
  WallTime issued_at;
  // How long the caller waits for a reply. Limited by the team's maximum
  // deadline; empty for its default deadline.
  std::optional<Duration> timeout;
};

// Version of the data that a query reads.
struct SnapshotId {
  IndexVersion index_version;
  MapVersion map_version;
  friend auto operator<=>(const SnapshotId&, const SnapshotId&) = default;
};

// Share of the snapshot that an answer covers. The counts are exact.
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
  // One JSON document per matching record, in shard group order.
  std::vector<std::string> rows;
  // True if this is the recorded outcome of an earlier operation with the same
  // idempotency key.
  bool replayed = false;
};

// Whether any part of a failed request was run by a backend server.
enum class RunState : uint8_t {
  kNotRun,   // No backend server ran any part of it.
  kRan,      // A part ran, but the result did not satisfy the team's policy.
  kUnknown,  // A part may have run.
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
  // One sentence for the caller; contains no data of other callers.
  std::string message;
  // Time after which a retry may succeed, if known.
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
