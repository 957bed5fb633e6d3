#ifndef SRC_GATEWAY_SERVER_LIMITS_H_
#define SRC_GATEWAY_SERVER_LIMITS_H_

// PRIVATE HEADER. Pattern: a rate limit that a server names for the whole
// fleet, divided among instances that don't coordinate each request.

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/server_demand.h"
#include "gateway/server_observations.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What a server said in an answer.
struct LimitStatement {
  ServerKey server;
  // Requests per second that it takes from all instances together; empty: it
  // names no limit (any more).
  std::optional<double> per_second;
  TimePoint at;
};

// The limits in force and this instance's share of each, which every request to
// the server draws from, repeats included. A share is a token bucket; if it is
// too thin for that, a probability that follows from the demand of the fleet.
// The latest statement of a server holds, whichever instance heard it.
class ServerLimits {
 public:
  // `uniform` returns random numbers in [0, 1).
  explicit ServerLimits(std::function<double()> uniform)
      : m_uniform(std::move(uniform)) {}

  // Number of instances among which each limit is divided.
  void SetInstances(uint32_t instances);

  // Returns true if the limit of the server has changed.
  bool Apply(const LimitStatement& statement, TimePoint now);
  std::optional<double> LimitOf(ServerKey server) const;
  bool IsLimited(ServerKey server) const {
    return !m_limits.empty() && LimitOf(server).has_value();
  }
  // This instance's share of the limit, in requests per second. Requires
  // IsLimited().
  double ShareOf(ServerKey server) const;
  // A request could be sent to the server; `requests` is the probability that
  // it would be. Counts the demand and decides whether the request may be sent
  // if instances see the server rarely.
  void OnDemand(ServerKey server, double requests, TimePoint now);
  // False if the share of this instance is used up for the moment.
  bool MaySend(ServerKey server, TimePoint now) const;
  void OnSend(ServerKey server, TimePoint now);

  FleetDemand& fleet_demand() { return m_fleet_demand; }
  // Demand of the fleet, for this instance's share of each limit. If it covers
  // a part of the instances, the others are assumed to have as much.
  void SetTotalDemand(DemandDigest total, TimePoint now);

  // Returns the number of limits that changed.
  size_t Merge(const std::vector<LimitStatement>& statements, TimePoint now);
  // What became known here after `since`.
  std::vector<LimitStatement> NewsSince(TimePoint since) const;

  // Forgets servers that nobody has heard for long. Called periodically.
  void Sweep(TimePoint now);
  // True unless no server has a limit.
  bool any() const { return !m_limits.empty(); }
  // Number of servers with a limit.
  size_t limited() const;

 private:
  struct Limit {
    std::optional<double> per_second;
    TimePoint stated_at;
    TimePoint known_at;
    double tokens = 0;
    TimePoint filled_at;
    // The next request may be sent; only with thin traffic.
    bool granted = false;
  };

  // True if instances see the server rarely and the demand of the fleet is
  // known.
  bool IsThin(ServerKey server, const Limit& limit, TimePoint now) const;
  double Rate(const Limit& limit) const;
  double Tokens(const Limit& limit, TimePoint now) const;

  const std::function<double()> m_uniform;
  uint32_t m_instances = 1;
  FleetDemand m_fleet_demand;
  DemandDigest m_total_demand;
  DemandDigest m_average_demand;
  TimePoint m_total_demand_at;
  std::unordered_map<ServerKey, Limit> m_limits;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_LIMITS_H_
