#ifndef SRC_DECISION_QUERY_PLANNER_H_
#define SRC_DECISION_QUERY_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wasabihook/request.h"
#include "wasabihook/server_table.h"
#include "wasabihook/snapshot.h"

namespace wasabihook {

// Target of one part of a query. Extension point for a two-level fan-out: a
// destination may later be an instance in the servers' data centre that runs
// the same engine over several groups.
struct Destination {
  enum class Kind : uint8_t {
    // A replica of the group, chosen when the sub-request is sent.
    kBackendServer,
  };
  Kind kind = Kind::kBackendServer;
  // Index into IndexSetSnapshot::groups.
  size_t group = 0;
};

// Returns one destination per shard group, in group order.
std::vector<Destination> PlanSearch(const IndexSetSnapshot& snapshot);
// Returns the destination of the group that holds `record_key`. The snapshot
// must have at least one group.
Destination PlanRecord(const IndexSetSnapshot& snapshot,
                       const std::string& record_key);

// Returns true if `group` has at least two live servers, that is, if it
// survives the loss of one. A server without an entry in `status` has not been
// used yet and counts as live.
bool HasRedundantServer(const ShardGroup& group,
                        const std::vector<ServerStatus>& status);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_PLANNER_H_
