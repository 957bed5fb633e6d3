#ifndef SRC_RUNTIME_LIMITS_H_
#define SRC_RUNTIME_LIMITS_H_

// PRIVATE HEADER.

#include "decision/membership/membership.h"
#include "decision/routing/admission_controller.h"
#include "decision/settings/settings_registry.h"
#include "wasabihook/backend.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

// Maximum number of concurrent requests to one index set on this instance: its
// share of the request slots and queue entries of the shard group with the
// least capacity.
uint32_t PoolCapacity(const IndexSetSnapshot& snapshot,
                      uint32_t live_instances);

// The settings that define the limits and the components that enforce them.
struct LimitTargets {
  const SettingsRegistry* settings = nullptr;
  ServerTable* servers = nullptr;
  AdmissionController* admission = nullptr;
  BackendTransport* transport = nullptr;
};

// Divides the request slots and connections of all servers among the instances.
void ApplyLimits(const LimitTargets& targets, const MembershipCounts& counts);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_LIMITS_H_
