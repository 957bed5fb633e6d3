#ifndef SRC_GATEWAY_OBSERVATION_EXCHANGE_H_
#define SRC_GATEWAY_OBSERVATION_EXCHANGE_H_

// PRIVATE HEADER. Exchanges what instances know of servers.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/feed_selector.h"
#include "gateway/fleet_message.h"
#include "gateway/gateway_context.h"
#include "gateway/server_observations.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Periodically sends the observations of this instance's subtree to the
// instance whose changes it follows, or, at the root of a data centre, to the
// roots of the others. Crashes and limits that are new here travel along, in
// both directions and from instance to instance.
class ObservationExchange : public ServerObserver {
 public:
  ObservationExchange(GatewayContext* context, FeedSelector* selector);
  ~ObservationExchange() override;
  ObservationExchange(const ObservationExchange&) = delete;
  ObservationExchange& operator=(const ObservationExchange&) = delete;

  void Observe(ServerKey server, bool bad) override;
  bool IsOutlier(ServerKey server) const override {
    return m_outliers.contains(server);
  }

  // `hook` runs with the marks of others that have changed.
  using AllowanceHook = std::function<void(const std::vector<AllowanceMark>&)>;
  void SetAllowanceHook(AllowanceHook hook) {
    m_allowance_hook = std::move(hook);
  }
  // Exchanges soon, ahead of the period: something is known that must spread
  // fast.
  void ExchangeSoon();
  // Handles the call of another instance; returns the body of the reply.
  // Throws std::runtime_error if the call is malformed.
  std::string OnCall(std::string_view target, std::string_view body);

 private:
  struct Peer {
    std::unique_ptr<StoreClient> client;
    TimePoint used_at;
    TimePoint answered_at;
    // The peer asked for all crashes that are known here.
    bool wants_all = true;
  };

  void Exchange();
  void Send(const std::string& address, bool root);
  // `all`: not only what became known lately.
  void AddNews(FleetMessage& message, bool all, TimePoint now) const;
  void MergeNews(const FleetMessage& message, TimePoint now);
  FleetDemand& Demand();
  // Updates what this instance takes from the exchange.
  void UpdateResults();

  GatewayContext* const m_context;
  FeedSelector* const m_selector;
  AllowanceHook m_allowance_hook;
  FleetObservations m_fleet;
  ObservationDigest m_outliers;
  bool m_root = true;
  std::map<std::string, Peer> m_peers;
  TimerHandle m_timer;
  std::optional<TimerHandle> m_early_timer;
};

// True if the target of a call between instances is one of this exchange.
bool IsObservationCall(std::string_view target);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_OBSERVATION_EXCHANGE_H_
