#include "wasabihook/snapshot.h"

#include <xxhash.h>

namespace wasabihook {

uint64_t IndexSetSnapshot::total_records() const {
  uint64_t total = 0;
  for (const ShardGroup& group : groups) {
    total += group.records;
  }
  return total;
}

size_t IndexSetSnapshot::GroupIndexFor(const std::string& record_key) const {
  return XXH64(record_key.data(), record_key.size(), 0) % groups.size();
}

}  // namespace wasabihook
