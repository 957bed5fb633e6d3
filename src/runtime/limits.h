#ifndef SRC_RUNTIME_LIMITS_H_
#define SRC_RUNTIME_LIMITS_H_

// PRIVATE HEADER.

#include "decision/membership/membership.h"
#include "decision/routing/admission_controller.h"
#include "decision/settings/settings_registry.h"
#include "wasabihook/backend.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

// Requests of one index set that this instance may run at once at the most:
// its share of the slots and queue places of the smallest shard group.
uint32_t PoolCapacity(const IndexSetSnapshot& snapshot,
                      uint32_t live_instances);

// What limits apply to.
struct LimitTargets {
  const SettingsRegistry* settings = nullptr;
  ServerTable* servers = nullptr;
  AdmissionController* admission = nullptr;
  BackendTransport* transport = nullptr;
};

// Divides slots and connections of all servers by the number of instances.
void ApplyLimits(const LimitTargets& targets, const MembershipCounts& counts);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_LIMITS_H_
