#ifndef SRC_RUNTIME_DAEMON_PARTS_H_
#define SRC_RUNTIME_DAEMON_PARTS_H_

// PRIVATE HEADER. Constructs and connects all components of a daemon except its
// caller and admin listeners.

#include <atomic>
#include <memory>

#include "decision/burn/burn_aggregator.h"
#include "decision/burn/burn_counters.h"
#include "decision/membership/membership.h"
#include "decision/operations/claim_cleaner.h"
#include "decision/operations/claim_store.h"
#include "decision/operations/quarantine.h"
#include "decision/routing/admission_controller.h"
#include "decision/routing/hedge_policy.h"
#include "decision/routing/retry_budget.h"
#include "decision/settings/settings_registry.h"
#include "decision/settings/settings_sync.h"
#include "peers/backend/curl_transport.h"
#include "peers/instance/http_peer_transport.h"
#include "peers/instance/peer_listener.h"
#include "peers/platform/http_platform_client.h"
#include "runtime/metrics.h"
#include "runtime/start_config.h"
#include "runtime/thread_timer_service.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

// Members are declared in the order of construction and destroyed in reverse,
// so that each component outlives its users.
struct DaemonComponents {
  // Throws std::runtime_error if a component cannot be constructed or the peer
  // address cannot be bound.
  explicit DaemonComponents(const StartConfig& config);
  ~DaemonComponents();
  DaemonComponents(const DaemonComponents&) = delete;
  DaemonComponents& operator=(const DaemonComponents&) = delete;

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
  CrashQuarantine quarantine;
  KeyValueClaimStore claims;
  CurlBackendTransport transport;
  std::unique_ptr<QueryTier> tier;
  HttpPeerTransport peers;
  // Set once the components below are constructed; peer requests are rejected
  // until then.
  std::atomic<bool> serves_peers{false};
  std::unique_ptr<PeerListener> peer_listener;
  std::shared_ptr<Membership> membership;
  std::unique_ptr<SettingsSync> sync;
  std::unique_ptr<BurnAggregator> aggregator;
  std::unique_ptr<ClaimCleaner> cleaner;

 private:
  PeerResponse HandlePeer(const PeerRequest& request);
  void StartMembership(const StartConfig& config);
  void StartSync(const StartConfig& config);
  void StartAggregator();
  void StartCleaner();
  std::vector<ClaimCleanerDeps::Team> ClaimCleanerTeams() const;
  void UpdateLimits();
  PeerNotices CollectNotices() const;
  bool ApplyNotices(const PeerNotices& notices);

  SubscriptionHandle m_settings_subscription;
  SubscriptionHandle m_members_subscription;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_DAEMON_PARTS_H_
