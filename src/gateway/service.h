#ifndef SRC_GATEWAY_SERVICE_H_
#define SRC_GATEWAY_SERVICE_H_

// PRIVATE HEADER.

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "gateway/admission_rate.h"
#include "gateway/backend_server.h"
#include "gateway/service_retry_budget.h"

namespace wasabihook::gateway {

// Sub-requests that one of `instances` may have at a server while the service
// is overloaded. `weight`: of the instance for the server, uniform in [0, 1).
uint32_t OverloadConcurrencyLimit(uint32_t slots,
                                  uint32_t instances,
                                  double weight);

// A set of servers that hold the same data, and what this instance may spend
// on them.
class Service {
 public:
  Service(GatewayContext* context, ServiceName name)
      : m_context(context), m_name(std::move(name)) {}

  const ServiceName& name() const { return m_name; }
  ServiceRetryBudget& budget() { return m_budget; }
  const ServiceRetryBudget& budget() const { return m_budget; }
  // Decides on a request of `rank`; see AdmissionRate.
  bool Admit(uint32_t priority, double draw);
  // No server had capacity for an admitted request.
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
  // Divides connections and budget among `instances`; `self` decides which
  // servers this instance uses if there are fewer connections than instances.
  void UpdateShare(const InstanceId& self, uint32_t instances);

  // Cheapest server that can take work now and is not in `excluded`; null if
  // there is none.
  BackendServer* Pick(std::span<BackendServer* const> excluded) const;
  // Some server may take work soon: it is busy, not gone.
  bool MayHaveCapacityLater(std::span<BackendServer* const> excluded) const;

 private:
  void LogLimitChange(bool was_limited) const;
  std::vector<ServerId> Subset(const InstanceId& self, double share) const;
  bool HasCapacity(const BackendServer& server) const;
  bool HasReadyServer() const;
  double CostOf(const BackendServer& server, TimePoint now) const;

  GatewayContext* const m_context;
  const ServiceName m_name;
  std::vector<std::shared_ptr<BackendServer>> m_servers;
  // Servers outside this instance's subset are asked only for repeats.
  std::vector<ServerId> m_subset;
  // This instance's share of the depth of each server.
  std::map<ServerId, uint32_t> m_overload_limits;
  uint32_t m_max_connections = 0;
  ServiceRetryBudget m_budget;
  AdmissionRate m_admission;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVICE_H_
