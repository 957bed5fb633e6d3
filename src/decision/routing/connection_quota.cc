#include "decision/routing/connection_quota.h"

#include <algorithm>

#include "wasabihook/config.h"

namespace wasabihook {

uint32_t ConnectionQuota(uint32_t max_connections, uint32_t live_instances) {
  const uint32_t live = std::max<uint32_t>(live_instances, 1);
  const double usable =
      max_connections * (1 - config::kConnectionReserve.value);
  return std::max<uint32_t>(static_cast<uint32_t>(usable / live), 1);
}

uint32_t ReplacementHeadroom(uint32_t max_connections,
                             uint32_t live_instances) {
  const uint32_t holders =
      max_connections / ConnectionQuota(max_connections, live_instances);
  return holders > live_instances ? holders - live_instances : 0;
}

}  // namespace wasabihook
