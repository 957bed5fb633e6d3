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

// How the replica of one sub-request is chosen.
struct RoutingPolicy {
  ReplicaChoice choice = ReplicaChoice::kLatencyOutstanding;
  bool outlier_ejection = true;
  bool concurrency_limits = true;
};

// What this instance knows of one backend server.
struct ServerStatus {
  ServerId id;
  uint32_t outstanding = 0;
  Duration latency_estimate{0};
  uint32_t concurrency_limit = 0;
  bool ejected = false;
  bool draining = false;
  bool slow_start = false;
  // Who reported the drain in force. Only marks that did not come from a peer
  // are passed on to peers; otherwise peers would keep them alive for ever.
  std::optional<DrainSource> drain_source;
  // Time until an ejected server is probed; 0 if it is due or under way.
  Duration time_until_probe{0};
  uint32_t consecutive_failures = 0;
};

// State of every backend server as this instance observes it, in shards by
// ServerId, each under its own lock. Thread-safe.
class ServerTable {
 public:
  virtual ~ServerTable() = default;

  // Chooses a server of `group` that is not in `excluded` and counts one
  // outstanding sub-request on it. Empty if none can take work now.
  virtual std::optional<ServerId> Acquire(
      const ShardGroup& group,
      const ServerLimits& server_limits,
      const RoutingPolicy& policy,
      const std::vector<ServerId>& excluded) = 0;
  // Ends a sub-request taken with Acquire() and learns from it.
  virtual void Release(const ServerId& server,
                       const SubReply& reply,
                       Duration latency) = 0;
  // `server` gets no new work. The mark expires unless it is renewed.
  virtual void MarkDraining(const ServerId& server, DrainSource source) = 0;
  // `server` is listed or reports itself as serving again.
  virtual void ClearDraining(const ServerId& server) { (void)server; }
  // Number of live instances that share the servers' connections and slots.
  virtual void SetLiveInstances(uint32_t count) = 0;
  virtual std::vector<ServerStatus> Status() const = 0;

  static std::unique_ptr<ServerTable> Create(TimerService* timers,
                                             RandomSource random);
};

}  // namespace wasabihook

#endif  // WASABIHOOK_SERVER_TABLE_H_
