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

// One unit of work for one backend server.
struct SubRequest {
  SubRequestId id;
  RequestKind kind = RequestKind::kSearch;
  ServerId server;
  TeamId team;
  IndexSetId index_set;
  ShardGroupId group;
  SnapshotId snapshot;
  // Time left; passed on to the server.
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
  kConnectFailed,  // No byte was handed to the server.
  kNoConnection,   // The connection limit left no connection in time.
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

// Load as the server reports it; may lag or be wrong.
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
  // Newest snapshot that the server serves, if it refused for the snapshot.
  std::optional<SnapshotId> newest_snapshot;
};

using SubReplyCallback = std::function<void(SubReply)>;

// Sends work to backend servers. Thread-safe. Each Send() leads to exactly one
// callback, never from within Send() or Cancel() itself. The reply was checked
// against the sub-request: id, snapshot, length and row count.
class BackendTransport {
 public:
  virtual ~BackendTransport() = default;

  virtual void Send(SubRequest request, SubReplyCallback done) = 0;
  // Gives up the work and tells the server. The callback gets kCancelled unless
  // a reply won the race. Unknown ids are ignored.
  virtual void Cancel(const SubRequestId& id) = 0;
  // Connections that this instance may open to `server`.
  virtual void SetConnectionLimit(const ServerId& server, uint32_t limit) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_BACKEND_H_
