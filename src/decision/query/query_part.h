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

// What a part of a query is doing; `QueryPart::wake_at` belongs to it.
enum class PartState : uint8_t {
  kUnsent,      // Held back until the canary has answered.
  kAsking,      // Wakes to hedge.
  kBackingOff,  // Wakes to retry.
  kNoCapacity,  // No server can take work; wakes to try again.
  kNoReplica,   // No replica serves the snapshot; wakes to look for another.
  kAnswered,
  kFailed,
};

// One sub-query: the work for one destination, over all its attempts.
struct QueryPart {
  Destination destination;
  PartState state = PartState::kUnsent;
  std::optional<TimePoint> wake_at;
  // Ticket of the wait for capacity.
  std::optional<uint64_t> ticket;

  std::vector<AttemptPtr> outstanding;
  // Sent attempts that count against the team's limit.
  uint32_t attempts = 0;
  // The next attempt is paid from the retry budget.
  bool charge_next = false;
  // End of the wait for a retry token.
  std::optional<TimePoint> token_wait_end;
  // A server refused for overload, or none could take the work.
  bool overloaded = false;
  // Replicas that failed, asked again only if no other is left.
  std::vector<ServerId> tried;
  // Replicas that do not serve the pinned snapshot or hold the group.
  std::vector<ServerId> unable;

  // Rows of the reply that settled the part.
  std::vector<std::string> rows;

  bool settled() const {
    return state == PartState::kAnswered || state == PartState::kFailed;
  }
};

// Takes the attempt with `id` out of the outstanding ones; null if it is not
// among them.
AttemptPtr TakeOutstanding(QueryPart& part, const SubRequestId& id);

// True if every server of `group` is in `servers`.
bool CoversAllServers(const ShardGroup& group,
                      const std::vector<ServerId>& servers);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_QUERY_PART_H_
