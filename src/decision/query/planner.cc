#include "decision/query/planner.h"

#include <algorithm>

namespace wasabihook {

std::vector<Destination> PlanSearch(const IndexSetSnapshot& snapshot) {
  std::vector<Destination> plan(snapshot.groups.size());
  for (size_t i = 0; i < plan.size(); ++i) {
    plan[i].group = i;
  }
  return plan;
}

Destination PlanRecord(const IndexSetSnapshot& snapshot,
                       const std::string& record_key) {
  return {Destination::Kind::kBackendServer,
          snapshot.GroupIndexFor(record_key)};
}

bool HasRedundantServer(const ShardGroup& group,
                        const std::vector<ServerStatus>& status) {
  const auto is_live = [&](const BackendServer& server) {
    const auto it =
        std::find_if(status.begin(), status.end(),
                     [&](const ServerStatus& s) { return s.id == server.id; });
    return it == status.end() || (!it->ejected && !it->draining);
  };
  return std::count_if(group.servers.begin(), group.servers.end(), is_live) >=
         2;
}

}  // namespace wasabihook
