#ifndef SRC_GATEWAY_ROUTE_TABLE_H_
#define SRC_GATEWAY_ROUTE_TABLE_H_

// PRIVATE HEADER.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/hedge_delay.h"
#include "gateway/platform_adapter.h"
#include "gateway/server_directory.h"
#include "gateway/teams/team_directory.h"
#include "gateway/weighted_choice.h"

namespace wasabihook::gateway {

// Statistics of a route, kept across configuration versions.
struct RouteStats {
  HedgeDelay hedge_delay;
  // Longest remaining time that a caller stated; taken as the time budget of a
  // first attempt.
  Duration max_caller_timeout{0};
};

// A configured route with its resolved services.
struct Route {
  RouteConfig config;
  ConfigVersion version;
  // In the order of `config.gather`, or of `config.targets`.
  std::vector<std::shared_ptr<Service>> services;
  // Minimum number of shards that an answer must cover; 1 without a scatter.
  uint32_t required_parts = 1;
  // The configuration has teams, and callers state their keys.
  bool requires_keys = false;
  std::shared_ptr<RouteStats> stats;
  // Chooses among the targets of this version. Versions in a row with the same
  // weights share it, so that the rotation goes on; a request that was held
  // keeps the choice of its own version. Null for a scatter.
  std::shared_ptr<WeightedChoice> target_choice;

  bool scatters() const { return !config.gather.empty(); }
};

using RoutePtr = std::shared_ptr<const Route>;

// The service of a route without a scatter that gets the next request.
Service* NextTarget(const Route& route);

// The routes of one configuration version. Immutable.
class RouteTable {
 public:
  // Returns the route of `host` with the longest prefix that matches `path`, or
  // null. The case of `host` and a port in it are ignored.
  RoutePtr Find(std::string_view host, std::string_view path) const;
  ConfigVersion version() const { return m_version; }
  const CallerLimits& limits() const { return m_limits; }
  const TeamDirectory& teams() const { return m_teams; }
  size_t size() const { return m_size; }

 private:
  friend class RouteTableBuilder;
  ConfigVersion m_version;
  CallerLimits m_limits;
  TeamDirectory m_teams;
  size_t m_size = 0;
  // Routes by host, in order of descending prefix length.
  std::unordered_map<std::string, std::vector<RoutePtr>> m_hosts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Builds route tables and preserves the statistics of routes between them.
class RouteTableBuilder {
 public:
  explicit RouteTableBuilder(ServerDirectory* directory)
      : m_directory(directory) {}
  // Throws std::runtime_error if the teams are not valid; nothing has changed
  // then.
  RouteTablePtr Build(RoutingConfig config);

 private:
  RoutePtr MakeRoute(RouteConfig config, const RouteTable& table);

  ServerDirectory* const m_directory;
  // What the newest version of a route passes on to the next one.
  struct Inherited {
    std::shared_ptr<RouteStats> stats = std::make_shared<RouteStats>();
    std::shared_ptr<WeightedChoice> target_choice;
  };
  std::map<RouteName, Inherited> m_inherited;
};

// Smallest number of shards that is at least `share` of `total`; at least 1.
uint32_t RequiredParts(Fraction share, size_t total);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ROUTE_TABLE_H_
