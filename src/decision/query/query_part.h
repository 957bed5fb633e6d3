#ifndef SRC_DECISION_QUERY_QUERY_PART_H_
#define SRC_DECISION_QUERY_QUERY_PART_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/query/attempt.h"
#include "decision/query/planner.h"
#include "wasabihook/snapshot.h"

namespace wasabihook {

// State of one part of a query. The comments say what happens at
// `QueryPart::wake_at`.
enum class PartState : uint8_t {
  kUnsent,      // Not sent until the canary has answered.
  kInFlight,    // Sends a hedge.
  kBackingOff,  // Retries.
  kNoCapacity,  // No server has free capacity; tries again.
  kNoReplica,   // No replica serves the snapshot; looks for a newer one.
  kAnswered,
  kFailed,
};

// One sub-query: all attempts to get a reply from one destination.
struct QueryPart {
  Destination destination;
  PartState state = PartState::kUnsent;
  std::optional<TimePoint> wake_at;
  // Ticket from CapacityWaiters while the part waits for capacity.
  std::optional<uint64_t> capacity_ticket;

  std::vector<AttemptPtr> outstanding;
  // Sent attempts that count towards TeamSettings::max_attempts.
  uint32_t attempts = 0;
  // The next attempt needs a token of the retry budget.
  bool charge_next_attempt = false;
  // When the wait for a retry token ends and the part fails.
  std::optional<TimePoint> token_wait_end;
  // A server refused the sub-request as overloaded, or no server had capacity.
  bool overloaded = false;
  // Servers with a failed attempt; used again only when no other server is
  // left.
  std::vector<ServerId> failed_servers;
  // Servers that do not serve the pinned snapshot or do not hold the group.
  std::vector<ServerId> unusable_servers;

  // Rows of the accepted reply.
  std::vector<std::string> rows;

  bool settled() const {
    return state == PartState::kAnswered || state == PartState::kFailed;
  }
};

// Removes the attempt with `id` from the outstanding attempts and returns it,
// or null if it is not among them.
AttemptPtr TakeOutstanding(QueryPart& part, const SubRequestId& id);

// Returns true if every server of `group` is in `servers`.
bool CoversAllServers(const ShardGroup& group,
                      const std::vector<ServerId>& servers);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_QUERY_PART_H_
