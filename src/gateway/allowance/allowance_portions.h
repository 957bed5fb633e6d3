#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_PORTIONS_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_PORTIONS_H_

// PRIVATE HEADER.

#include <cstdint>
#include <vector>

#include "wasabihook/ids.h"

namespace wasabihook::gateway {

// How the allowance of a team is divided. An instance can't hold the portion of
// another one, whether that one is killed, stands still or is cut off, so the
// portions never add up to more than the allowance.
struct AllowancePortions {
  // Number of equal portions. Those of neither this nor the `others` belong to
  // instances that are not known yet.
  uint32_t count = 1;
  // This instance has one of them, and all others have had the time to learn
  // that they don't.
  bool own = true;
  // Other instances that have one each.
  std::vector<InstanceId> others{};
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_PORTIONS_H_
