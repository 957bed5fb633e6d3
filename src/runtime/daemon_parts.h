#ifndef SRC_RUNTIME_DAEMON_PARTS_H_
#define SRC_RUNTIME_DAEMON_PARTS_H_

// PRIVATE HEADER. Composition of everything in a daemon but its listeners.

#include <memory>

#include "decision/burn/burn_counters.h"
#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "decision/settings/settings_registry.h"
#include "peers/backend/curl_transport.h"
#include "peers/platform/http_platform_client.h"
#include "runtime/metrics.h"
#include "runtime/placeholders.h"
#include "runtime/start_config.h"
#include "runtime/thread_timer_service.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

// The parts in the order of construction; destroyed in reverse. Each part
// outlives those that use it.
struct DaemonParts {
  // Throws std::runtime_error if a part cannot be set up.
  explicit DaemonParts(const StartConfig& config);
  ~DaemonParts();
  DaemonParts(const DaemonParts&) = delete;
  DaemonParts& operator=(const DaemonParts&) = delete;

  RandomSource random;
  Incarnation incarnation;
  Metrics metrics;
  ThreadTimerService timers;
  SettingsRegistry settings;
  platform::HttpPlatformClient platform;
  BurnCounters burn;
  std::unique_ptr<ServerTable> servers;
  std::unique_ptr<HedgePolicy> hedging;
  std::unique_ptr<RetryBudget> retry_budget;
  std::unique_ptr<AdmissionController> admission;
  UnavailableClaims claims;
  NoQuarantine quarantine;
  CurlBackendTransport transport;
  std::unique_ptr<QueryTier> tier;
  SettingsPoll sync;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_DAEMON_PARTS_H_
