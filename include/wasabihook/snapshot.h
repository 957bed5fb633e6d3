#ifndef WASABIHOOK_SNAPSHOT_H_
#define WASABIHOOK_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

struct BackendServer {
  ServerId id;  // "ip:port"
  DataCentreId data_centre;
};

struct ShardGroup {
  ShardGroupId id;
  // Number of records of this group in the snapshot, from which the coverage of
  // a partial answer is computed.
  uint64_t records = 0;
  std::vector<BackendServer> servers;
};

// Limits of each backend server of an index set.
struct ServerLimits {
  uint32_t slots = 2;             // Requests that a server runs concurrently.
  uint32_t max_connections = 25;  // Total over all instances.
};

// An immutable version of an index set. A query uses one snapshot throughout.
struct IndexSetSnapshot {
  TeamId team;
  IndexSetId index_set;
  SnapshotId id;
  Revision settings_revision;
  ServerLimits server_limits;
  std::vector<ShardGroup> groups;

  uint64_t total_records() const;
  // Index into `groups` of the group that holds `record_key`:
  // XXH64(record_key) mod groups.size(). `groups` must not be empty.
  size_t GroupIndexFor(const std::string& record_key) const;
};

using SnapshotPtr = std::shared_ptr<const IndexSetSnapshot>;

}  // namespace wasabihook

#endif  // WASABIHOOK_SNAPSHOT_H_
