#ifndef SRC_DECISION_ROUTING_SERVER_STATE_H_
#define SRC_DECISION_ROUTING_SERVER_STATE_H_

#include <cstdint>
#include <optional>

#include "decision/routing/concurrency_limit.h"
#include "decision/routing/drain_mark.h"
#include "decision/routing/ejection.h"
#include "decision/routing/latency_estimate.h"
#include "decision/routing/replica_choice.h"
#include "wasabihook/backend.h"
#include "wasabihook/server_table.h"
#include "wasabihook/snapshot.h"
#include "wasabihook/units.h"

namespace wasabihook {

// State of one backend server as observed by this instance. Not thread-safe;
// protected by the mutex of its shard.
class ServerState {
 public:
  explicit ServerState(TimePoint now)
      : m_slow_start_begin(now), m_last_seen(now) {}

  // Returns the input to replica selection. Also records that a snapshot lists
  // the server and starts its slow start after a drain.
  ReplicaView MakeView(const ServerLimits& server_limits,
                       uint32_t live_instances,
                       TimePoint now);
  // Adds an outstanding sub-request; false if the server can no longer take
  // work under `policy`.
  bool TryAcquire(const RoutingPolicy& policy, TimePoint now);
  void OnReply(const SubReply& reply,
               Duration latency,
               TimePoint now,
               double jitter);
  void MarkDraining(DrainSource source, TimePoint now);
  void ClearDraining() { m_drain.Clear(); }
  void Eject(TimePoint now, double jitter) { m_ejection.Eject(now, jitter); }

  // True if no snapshot has listed the server for kServerRetention and it has
  // no outstanding sub-requests.
  bool IsExpired(TimePoint now) const;
  ServerStatus Status(const ServerId& id, TimePoint now) const;

 private:
  double SlowStartShare(TimePoint now) const;
  double HintedLoad(TimePoint now) const;
  // Starts the slow start of a server that returns to service and resets its
  // latency estimate and concurrency limit.
  void BeginSlowStart(TimePoint now);
  void UpdateLoad(const SubReply& reply, TimePoint now);
  void UpdateLatency(SubOutcome outcome, Duration latency, TimePoint now);

  uint32_t m_outstanding = 0;
  LatencyEstimate m_latency;
  ConcurrencyLimit m_limit;
  Ejection m_ejection;
  DrainMark m_drain;
  TimePoint m_slow_start_begin;
  TimePoint m_last_seen;
  TimePoint m_backoff_until;
  // Sub-requests of other instances as last reported by the server.
  double m_other_instances_load = 0;
  TimePoint m_load_reported_at;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_SERVER_STATE_H_
