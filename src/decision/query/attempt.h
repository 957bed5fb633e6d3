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

// One sub-request sent to a backend server, with the values that its reply is
// validated against.
struct Attempt {
  SubRequestId id;
  QueryHandle query;
  // Number of the query plan that sent it. A restart on another snapshot starts
  // a new epoch; replies to attempts of earlier epochs are dropped.
  uint32_t epoch = 0;
  size_t part = 0;
  RequestKind kind = RequestKind::kSearch;
  ServerId server;
  ShardGroupKey group;
  SnapshotId snapshot;
  uint64_t group_records = 0;
  QuarantineEntry body;
  TimePoint sent_at;

  // Set by the first callback from the transport; later callbacks are duplicate
  // replies.
  std::atomic<bool> answered{false};
  // Set before the transport is asked to cancel, so that a thread that has not
  // yet sent the sub-request drops it.
  std::atomic<bool> cancelled{false};
};

using AttemptPtr = std::shared_ptr<Attempt>;

// Returns a reply to `attempt` that carries only `outcome`.
SubReply MakeOutcomeReply(const Attempt& attempt, SubOutcome outcome);

// Returns true if a kOk reply matches the snapshot and the record count of the
// group that `attempt` is pinned to.
bool MatchesPinnedGroup(const Attempt& attempt, const SubReply& reply);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_ATTEMPT_H_
