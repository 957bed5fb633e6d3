#ifndef SRC_DECISION_QUERY_ATTEMPT_H_
#define SRC_DECISION_QUERY_ATTEMPT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "decision/routing/hedge_policy.h"
#include "wasabihook/backend.h"
#include "wasabihook/ids.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/units.h"

namespace wasabihook {

// One sub-request as it was sent, with what its reply must match.
struct Attempt {
  SubRequestId id;
  QueryHandle query;
  // Plan of the query that sent it; a restart on another snapshot starts a new
  // one.
  uint32_t epoch = 0;
  size_t part = 0;
  RequestKind kind = RequestKind::kSearch;
  ServerId server;
  ShardGroupKey group;
  SnapshotId snapshot;
  uint64_t group_records = 0;
  QuarantineEntry body;
  TimePoint sent_at;

  // Set by the first callback of the transport; later ones are duplicates.
  std::atomic<bool> answered{false};
  // Set before the transport is told, so that a send that has not yet left
  // another thread is dropped.
  std::atomic<bool> cancelled{false};
};

using AttemptPtr = std::shared_ptr<Attempt>;

// Reply of `attempt` that carries nothing but its outcome.
SubReply BareReply(const Attempt& attempt, SubOutcome outcome);

// True if a kOk reply fits the pinned snapshot and group of `attempt`.
bool MatchesPinnedGroup(const Attempt& attempt, const SubReply& reply);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_ATTEMPT_H_
