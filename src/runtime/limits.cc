#include "runtime/limits.h"

#include <algorithm>
#include <limits>

#include "decision/routing/connection_quota.h"
#include "decision/settings/settings_parser.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

void ApplyToIndexSet(const LimitTargets& targets,
                     const IndexSetSnapshot& snapshot,
                     uint32_t live,
                     uint32_t sharing) {
  targets.admission->SetPoolCapacity(snapshot.index_set,
                                     PoolCapacity(snapshot, live));
  const uint32_t quota =
      ConnectionQuota(snapshot.server_limits.max_connections, sharing);
  for (const ShardGroup& group : snapshot.groups) {
    for (const BackendServer& server : group.servers)
      targets.transport->SetConnectionLimit(server.id, quota);
  }
}

}  // namespace

uint32_t PoolCapacity(const IndexSetSnapshot& snapshot,
                      uint32_t live_instances) {
  if (snapshot.groups.empty())
    return 1;
  const uint64_t server_capacity =
      snapshot.server_limits.slots + config::kMaxServerQueueLength;
  uint64_t smallest = std::numeric_limits<uint32_t>::max();
  for (const ShardGroup& group : snapshot.groups)
    smallest =
        std::min<uint64_t>(smallest, server_capacity * group.servers.size());
  const uint64_t live = std::max(1U, live_instances);
  // Rounded up, so that every instance can run at least one request.
  return static_cast<uint32_t>(
      std::max<uint64_t>(1, (smallest + live - 1) / live));
}

void ApplyLimits(const LimitTargets& targets, const MembershipCounts& counts) {
  const uint32_t live = std::max(1U, counts.live);
  const uint32_t sharing = std::max(live, counts.sharing);
  targets.servers->SetLiveInstances(sharing);
  for (const SubtreeStatus& status : targets.settings->Status()) {
    if (!status.subtree.starts_with(kTeamSubtreePrefix))
      continue;
    const TeamSettingsPtr team = targets.settings->Team(
        TeamId(status.subtree.substr(kTeamSubtreePrefix.size())));
    if (!team)
      continue;
    for (const auto& [id, snapshot] : team->index_sets)
      ApplyToIndexSet(targets, *snapshot, live, sharing);
  }
}

}  // namespace wasabihook
