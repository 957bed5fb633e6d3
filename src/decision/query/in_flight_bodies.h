#ifndef SRC_DECISION_QUERY_IN_FLIGHT_BODIES_H_
#define SRC_DECISION_QUERY_IN_FLIGHT_BODIES_H_

#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/quarantine.h"

namespace wasabihook {

// Request bodies that this instance has in flight on each server. When a server
// crashes, they are reported to the quarantine as possible causes. Thread-safe;
// sharded by server.
class InFlightBodies {
 public:
  void Add(const ServerId& server,
           const SubRequestId& id,
           const QuarantineEntry& body);
  void Remove(const ServerId& server, const SubRequestId& id);
  std::vector<QuarantineEntry> ForServer(const ServerId& server) const;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<ServerId,
                       std::unordered_map<SubRequestId, QuarantineEntry>>
        bodies;
  };

  size_t IndexOf(const ServerId& server) const {
    return std::hash<ServerId>{}(server) % m_shards.size();
  }

  std::array<Shard, config::kStateShards> m_shards;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_IN_FLIGHT_BODIES_H_
