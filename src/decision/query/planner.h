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

// Where one part of a query goes. Extension point for two levels: a destination
// may later be an instance in the servers' data centre that runs the same
// engine over several groups.
struct Destination {
  enum class Kind : uint8_t {
    // A replica of the group, chosen when the sub-request is sent.
    kBackendServer,
  };
  Kind kind = Kind::kBackendServer;
  // Index into IndexSetSnapshot::groups.
  size_t group = 0;
};

// One destination for each shard group, in group order.
std::vector<Destination> PlanSearch(const IndexSetSnapshot& snapshot);
// The destination of the group that holds `record_key`. The snapshot must have
// groups.
Destination PlanRecord(const IndexSetSnapshot& snapshot,
                       const std::string& record_key);

// True if the loss of one server leaves `group` another live one. A server
// without an entry in `status` has not been used yet and counts as live.
bool HasSpareServer(const ShardGroup& group,
                    const std::vector<ServerStatus>& status);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_PLANNER_H_
