#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

// PRIVATE HEADER. Top-level object of the gateway program.

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/allowance/allowance_exchange.h"
#include "gateway/caller_listener.h"
#include "gateway/change_feed.h"
#include "gateway/exchange.h"
#include "gateway/feed_selector.h"
#include "gateway/fleet_size.h"
#include "gateway/gateway_context.h"
#include "gateway/instance_registration.h"
#include "gateway/observation_exchange.h"
#include "gateway/quarantine_publisher.h"
#include "gateway/route_table.h"
#include "gateway/server_directory.h"
#include "gateway/store_follower.h"

namespace wasabihook::gateway {

// One instance of the gateway: listeners, routes, servers and the store
// follower, all on one event loop.
class Gateway {
 public:
  // The file at `settings_path` is read again on RequestReload() and when its
  // content changes. Throws std::runtime_error if an address cannot be bound.
  Gateway(EventLoop* loop,
          GatewaySettings settings,
          std::string settings_path,
          PlatformAdapter platform,
          std::unique_ptr<StoreCodec> codec,
          RandomSource random);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Reports not ready, keeps serving requests that still arrive, and stops the
  // loop once all connections are closed or the grace period is nearly over.
  void BeginDrain();
  void RequestReload();

  const GatewayMetrics& metrics() const { return m_metrics; }
  bool ready() const;
  // Addresses in use, "ip:port".
  const std::string& caller_address() const {
    return m_caller_listener.address();
  }
  const std::string& metrics_address() const {
    return m_metrics_listener->address();
  }

 private:
  // What the head of a request leads to.
  struct HeadDecision {
    RoutePtr route;
    TeamPtr team;
    std::optional<OutboundResponse> rejection;
  };

  HeadDecision ExamineHead(std::string_view target, const HeaderList& headers);
  // Logs and counts the rejection of a request.
  OutboundResponse Reject(const HeaderList& headers,
                          int status,
                          const char* why,
                          const char* retry_after_s = nullptr);
  void OnRequest(InboundRequest request, Responder& responder);
  // A request whose team is near the end of its allowance.
  struct HeldRequest {
    InboundRequest request;
    Responder* responder = nullptr;
    HeadDecision head;
  };

  // Starts the request, rejects it, or holds it until the owner of the team's
  // ledger has decided.
  void AdmitTeam(HeldRequest request);
  void OnAllowance(HeldRequest& request, const AllowanceVerdict& verdict);
  void StartExchange(InboundRequest request,
                     Responder& responder,
                     RoutePtr route,
                     const TeamPtr& team);
  void OnReadiness(const InboundRequest& request, Responder& responder);
  bool OnInstanceCall(const InboundRequest& request, Responder& responder);
  void OnMetrics(const InboundRequest& request, Responder& responder);

  void OnListing(const std::vector<StoreItem>& items, StorePosition position);
  void OnChange(const StoreItem& item);
  void ApplyItem(const StoreItem& item);
  void ApplyRouting(const StoreItem& item);
  void ApplyServer(const StoreItem& item);
  void ApplyInstance(const StoreItem& item);
  void ApplyQuarantine(const StoreItem& item);
  void ApplyEvacuation(const StoreItem& item);
  void OnVerdict(const QuarantineVerdict& verdict);
  // Drops or writes again quarantined requests that the store does not list.
  void ReconcileQuarantine(const std::vector<StoreItem>& items, StoreEra era);
  void CountInstances();
  void UpdateAllowanceOwners(uint32_t estimate);
  void OnStoreContact();
  void OnCaughtUp(StorePosition position);
  void UpdateGauges();

  void CheckDrained();
  void CheckSettingsFile();

  EventLoop* const m_loop;
  GatewaySettings m_settings;
  const std::string m_settings_path;
  std::string m_settings_text;
  const PlatformAdapter m_platform;
  const std::unique_ptr<StoreCodec> m_store_codec;
  GatewayMetrics m_metrics;
  GatewayLog m_log;
  RequestQuarantine m_quarantine;
  CrashAlert m_crash_alert;
  ServerLimits m_limits;
  LeavingServers m_leaving_servers;
  TeamDemand m_team_demand;
  FairShares m_fair_shares;
  ServerPaces m_paces;
  Evacuations m_evacuations;
  AllowanceMarks m_allowance_marks;
  AnswerMargin m_answer_margin;
  GatewayContext m_context;
  FeedSelector m_feed_selector;
  ObservationExchange m_observations;
  ServerDirectory m_directory;
  AllowanceExchange m_allowances;
  std::optional<uint64_t> m_owners_generation;
  uint32_t m_allowance_estimate = 0;
  bool m_may_hold_portions = false;
  std::unordered_map<AllowanceExchange::WaitId, HeldRequest> m_held_requests;
  RouteTableBuilder m_route_table_builder;
  RouteTablePtr m_routes;
  std::unique_ptr<ChangeFeed> m_change_feed;
  std::unordered_map<Exchange*, std::unique_ptr<Exchange>> m_exchanges;
  std::vector<std::unique_ptr<Exchange>> m_finished_exchanges;
  // Ends finished exchanges, which may be on the call stack when they finish.
  std::optional<TimerHandle> m_cleanup_timer;
  std::vector<TimerHandle> m_timers;
  bool m_has_listing = false;
  StorePosition m_store_position;
  FleetSize m_fleet_size;
  CallerBudget m_caller_budget;
  // Parts of the requests in flight, which take memory of their own.
  size_t m_parts_in_flight = 0;
  std::optional<TimePoint> m_drain_started;
  CallerListener m_caller_listener;
  CallerListener m_readiness_listener;
  std::unique_ptr<CallerListener> m_metrics_listener;
  StoreFollower m_store_follower;
  InstanceRegistration m_registration;
  QuarantinePublisher m_quarantine_publisher;
  // Quarantined requests in the store, as of the last listing or change.
  std::set<Fingerprint> m_listed_quarantine;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_GATEWAY_H_
