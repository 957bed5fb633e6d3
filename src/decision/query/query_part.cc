#include "decision/query/query_part.h"

#include <algorithm>

namespace wasabihook {

AttemptPtr TakeOutstanding(QueryPart& part, const SubRequestId& id) {
  const auto it =
      std::find_if(part.outstanding.begin(), part.outstanding.end(),
                   [&](const AttemptPtr& a) { return a->id == id; });
  if (it == part.outstanding.end()) {
    return nullptr;
  }
  AttemptPtr attempt = *it;
  part.outstanding.erase(it);
  return attempt;
}

bool CoversAllServers(const ShardGroup& group,
                      const std::vector<ServerId>& servers) {
  return std::all_of(group.servers.begin(), group.servers.end(),
                     [&](const BackendServer& server) {
                       return std::find(servers.begin(), servers.end(),
                                        server.id) != servers.end();
                     });
}

}  // namespace wasabihook
