#ifndef WASABIHOOK_SERVER_TABLE_H_
#define WASABIHOOK_SERVER_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "wasabihook/backend.h"
#include "wasabihook/ids.h"
#include "wasabihook/random_source.h"
#include "wasabihook/settings.h"
#include "wasabihook/snapshot.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

enum class DrainSource : uint8_t { kServer, kPlatform, kPeer, kSettings };

// Settings for the selection of the replica of a sub-request.
struct RoutingPolicy {
  ReplicaChoice choice = ReplicaChoice::kLatencyOutstanding;
  bool outlier_ejection = true;
  bool concurrency_limits = true;
};

// State of one backend server as observed by this instance.
struct ServerStatus {
  ServerId id;
  uint32_t outstanding = 0;
  Duration latency_estimate{0};
  uint32_t concurrency_limit = 0;
  bool ejected = false;
  bool draining = false;
  bool slow_start = false;
  // Source of the current drain mark. Marks reported by a peer are not passed
  // on to other peers, which would otherwise renew them indefinitely.
  std::optional<DrainSource> drain_source;
  // Time until an ejected server is probed; 0 if the probe is due or
  // outstanding.
  Duration time_until_probe{0};
  uint32_t consecutive_failures = 0;
};

// State of every backend server as observed by this instance, sharded by
// ServerId with one lock per shard. Thread-safe.
class ServerTable {
 public:
  virtual ~ServerTable() = default;

  // Selects a server of `group` that is not in `excluded` and adds an
  // outstanding sub-request to it. Empty if no server can take work now.
  virtual std::optional<ServerId> Acquire(
      const ShardGroup& group,
      const ServerLimits& server_limits,
      const RoutingPolicy& policy,
      const std::vector<ServerId>& excluded) = 0;
  // Ends a sub-request started with Acquire() and updates the server's state
  // from its reply.
  virtual void Release(const ServerId& server,
                       const SubReply& reply,
                       Duration latency) = 0;
  // Stops new work for `server`. The mark expires unless it is renewed.
  virtual void MarkDraining(const ServerId& server, DrainSource source) = 0;
  // Clears the drain mark of a server that is listed again or reports that it
  // serves.
  virtual void ClearDraining(const ServerId& server) { (void)server; }
  // Number of live instances that share the servers' connections and slots.
  virtual void SetLiveInstances(uint32_t count) = 0;
  // Of all servers. Never shows more of a group as ejected than may be.
  virtual std::vector<ServerStatus> Status() const = 0;

  static std::unique_ptr<ServerTable> Create(TimerService* timers,
                                             RandomSource random);
};

}  // namespace wasabihook

#endif  // WASABIHOOK_SERVER_TABLE_H_
