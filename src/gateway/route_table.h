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
#include "gateway/weighted_choice.h"

namespace wasabihook::gateway {

// What was learnt of a route; outlives the configuration that named it.
struct RouteStats {
  HedgeDelay hedge;
  WeightedChoice choice;
  // Longest time left that a caller stated: its whole time budget.
  Duration longest_deadline{0};
};

// A route whose services are resolved.
struct Route {
  RouteConfig config;
  ConfigVersion version;
  // In the order of `config.gather`, or of `config.targets`.
  std::vector<std::shared_ptr<Service>> services;
  // Shards that an answer must cover at least; 1 for a single service.
  uint32_t needed_parts = 1;
  std::shared_ptr<RouteStats> stats;

  bool scatters() const { return !config.gather.empty(); }
};

using RoutePtr = std::shared_ptr<const Route>;

// Routes of one configuration version. Immutable.
class RouteTable {
 public:
  // Route of `host` with the longest prefix that begins `path`; null if none.
  // A port in `host` and its case are ignored.
  RoutePtr Find(std::string_view host, std::string_view path) const;
  ConfigVersion version() const { return m_version; }
  const CallerLimits& limits() const { return m_limits; }
  size_t size() const { return m_size; }

 private:
  friend class RouteTableBuilder;
  ConfigVersion m_version;
  CallerLimits m_limits;
  size_t m_size = 0;
  // Longest prefix first.
  std::unordered_map<std::string, std::vector<RoutePtr>> m_hosts;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Builds tables and carries what was learnt from one to the next.
class RouteTableBuilder {
 public:
  explicit RouteTableBuilder(ServerDirectory* directory)
      : m_directory(directory) {}
  RouteTablePtr Build(RoutingConfig config);

 private:
  RoutePtr MakeRoute(RouteConfig config, ConfigVersion version);

  ServerDirectory* const m_directory;
  std::map<RouteName, std::shared_ptr<RouteStats>> m_stats;
};

// Least number of `total` shards that make up `share` of them.
uint32_t NeededParts(Fraction share, size_t total);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ROUTE_TABLE_H_
