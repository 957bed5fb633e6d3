#ifndef SRC_GATEWAY_SERVICE_H_
#define SRC_GATEWAY_SERVICE_H_

// PRIVATE HEADER.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "gateway/admission_rate.h"
#include "gateway/backend_server.h"
#include "gateway/service_retry_budget.h"

namespace wasabihook::gateway {

// Number of sub-requests that one of `instances` may have outstanding at a
// server with `slots` while its service is overloaded. `weight` is the weight
// of the instance for the server, uniform in [0, 1).
uint32_t OverloadConcurrencyLimit(uint32_t slots,
                                  uint32_t instances,
                                  double weight);

enum class ServerAfterLoss : uint8_t { kUnknown, kHeard, kEnded };

// A set of servers with the same data, together with this instance's limits for
// them.
class Service {
 public:
  Service(GatewayContext* context, ServiceName name)
      : m_context(context), m_name(std::move(name)) {}

  const ServiceName& name() const { return m_name; }
  ServiceRetryBudget& budget() { return m_budget; }
  const ServiceRetryBudget& budget() const { return m_budget; }
  // Decides on a request of `priority`; see AdmissionRate::Admit().
  bool Admit(uint32_t priority,
             double draw,
             const AdmissionRate::TeamShare& team_share);
  // Reports that no server had capacity for an admitted request.
  void OnRejected();
  bool limited() const { return m_admission.limited(); }

  void Add(std::shared_ptr<BackendServer> server);
  void Remove(const ServerId& id);
  const std::vector<std::shared_ptr<BackendServer>>& servers() const {
    return m_servers;
  }

  void SetMaxConnections(uint32_t max_connections) {
    m_max_connections = max_connections;
  }
  // Sets this instance's share of connections, of the retry budget and of the
  // concurrency under overload. `self` determines which servers the instance
  // uses if a server accepts fewer connections than there are instances.
  void UpdateShare(const InstanceId& self, uint32_t instances);

  // Appends the ids of the servers that this instance prefers and has no
  // connection to.
  void AppendCold(std::vector<ServerId>& out) const;

  // Servers that are neither down, leaving, paused nor misdirected.
  size_t SoundServers() const;
  // True if a sound server is left when one is lost. With `heard_since`, only
  // servers count that replied or accepted a connection since then.
  bool CanSpareAServer(std::optional<TimePoint> heard_since) const;

  // What was seen of `server` since its connection ended at `lost_at`.
  ServerAfterLoss StateSince(const BackendServer* server,
                             TimePoint lost_at) const;
  // Opens a connection to each sound server that was not heard since `since`.
  void ProbeServers(TimePoint since);

  // A request of this instance needs a server of this service.
  void CountDemand();
  // True if there are usable servers, but this instance's shares of the limits
  // that they name are used up for the moment.
  bool IsAtLimit() const;
  // When a server is available again, if all that could be used now want no
  // requests for some time; otherwise empty.
  std::optional<TimePoint> PausedUntil() const;
  // Returns the server of lowest cost that has capacity and is not in
  // `excluded`, or null. A hedge leaves out servers that name a limit.
  BackendServer* Pick(std::span<BackendServer* const> excluded,
                      bool hedge = false) const;
  // True if some server outside `excluded` is busy but available, so that it
  // may have capacity soon.
  bool MayHaveCapacityLater(std::span<BackendServer* const> excluded) const;

 private:
  void LogLimitChange(bool was_limited) const;
  std::vector<ServerId> Subset(const InstanceId& self, double share) const;
  bool HasCapacity(const BackendServer& server) const;
  bool HasReadyServer(TimePoint now) const;
  // After a pause the load returns in steps, as long as there are others.
  bool IsHeldBackAfterPause(const BackendServer& server, TimePoint now) const;
  struct Candidate {
    BackendServer* server = nullptr;
    double cost = 0;
  };

  double CostOf(const BackendServer& server, TimePoint now) const;
  BackendServer* PickInProportion(std::span<const Candidate> candidates,
                                  const Candidate& best) const;

  GatewayContext* const m_context;
  // Kept to save an allocation for each sub-request.
  mutable std::vector<Candidate> m_candidates;
  const ServiceName m_name;
  std::vector<std::shared_ptr<BackendServer>> m_servers;
  // Servers that this instance prefers; empty if it uses all alike. Servers
  // outside the subset get an extra cost.
  std::vector<ServerId> m_subset;
  // Servers to which connections are opened ahead of requests.
  std::vector<ServerId> m_warm_set;
  // Outstanding sub-requests that each server may get from this instance while
  // the service is limited.
  std::map<ServerId, uint32_t> m_overload_limits;
  uint32_t m_max_connections = 0;
  ServiceRetryBudget m_budget;
  AdmissionRate m_admission;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVICE_H_
