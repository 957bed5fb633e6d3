#ifndef WASABIHOOK_BACKEND_H_
#define WASABIHOOK_BACKEND_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

// A request for one shard group, sent to one backend server.
struct SubRequest {
  SubRequestId id;
  RequestKind kind = RequestKind::kSearch;
  ServerId server;
  TeamId team;
  IndexSetId index_set;
  ShardGroupId group;
  SnapshotId snapshot;
  // Time until the deadline; sent to the server.
  Duration remaining{0};
  std::string payload;
  std::string record_key;
  IdempotencyKey idempotency_key;
};

enum class SubOutcome : uint8_t {
  kOk,
  // The server did not run the work.
  kOverloaded,
  kDraining,
  kSnapshotNotServed,
  kGroupNotHeld,
  kConnectFailed,  // No byte was sent to the server.
  kNoConnection,   // No connection became free within the connection limit.
  // The server may have run the work.
  kTimedOut,
  kConnectionLost,
  kInvalidReply,  // Wrong id, snapshot, length or row count.
  kServerError,
  kCancelled,
};

// True if the outcome proves that the server did not run the work.
bool IsProvablyNotRun(SubOutcome outcome);
std::string ToString(SubOutcome outcome);

// Load reported by the server; may be outdated or wrong.
struct LoadHint {
  uint32_t running = 0;
  uint32_t queued = 0;
  bool draining = false;
};

struct SubReply {
  SubRequestId id;
  SubOutcome outcome = SubOutcome::kConnectFailed;
  SnapshotId snapshot;
  uint64_t records_searched = 0;
  std::vector<std::string> rows;  // One JSON document each.
  std::optional<LoadHint> load;
  std::optional<Duration> retry_after;
  // Newest snapshot that the server serves, if it doesn't serve the requested
  // one.
  std::optional<SnapshotId> newest_snapshot;
};

using SubReplyCallback = std::function<void(SubReply)>;

// Sends sub-requests to backend servers. Thread-safe. Each Send() results in
// exactly one callback, never from within Send() or Cancel(). Replies are
// validated against the sub-request: id, snapshot, length and row count.
class BackendTransport {
 public:
  virtual ~BackendTransport() = default;

  virtual void Send(SubRequest request, SubReplyCallback done) = 0;
  // Cancels the sub-request and notifies the server. The callback gets
  // kCancelled unless a reply arrived first. Unknown ids are ignored.
  virtual void Cancel(const SubRequestId& id) = 0;
  // Sets the maximum number of connections of this instance to `server`.
  virtual void SetConnectionLimit(const ServerId& server, uint32_t limit) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_BACKEND_H_
