#include "gateway/route_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wasabihook::gateway {
namespace {

std::string NormalizeHost(std::string_view host) {
  if (const size_t colon = host.rfind(':'); colon != std::string_view::npos)
    host = host.substr(0, colon);
  std::string out(host);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

uint32_t RequiredParts(Fraction share, size_t total) {
  // Absorbs the rounding error of shares without an exact binary form, such as
  // 0.9.
  constexpr double kRounding = 1e-9;
  const double parts = share.value * static_cast<double>(total);
  return static_cast<uint32_t>(std::max(1.0, std::ceil(parts - kRounding)));
}

Service* NextTarget(const Route& route) {
  return route.services[route.target_choice->Next()].get();
}

RoutePtr RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto found = m_hosts.find(NormalizeHost(host));
  if (found == m_hosts.end())
    return nullptr;
  for (const RoutePtr& route : found->second) {
    if (path.starts_with(route->config.prefix))
      return route;
  }
  return nullptr;
}

RoutePtr RouteTableBuilder::MakeRoute(RouteConfig config,
                                      const RouteTable& table) {
  auto route = std::make_shared<Route>();
  route->version = table.version();
  route->requires_keys = table.teams().requires_keys();
  Inherited& inherited = m_inherited[config.name];
  route->stats = inherited.stats;
  for (const ServiceName& name : config.gather)
    route->services.push_back(m_directory->GetService(name));
  std::vector<double> weights;
  for (const WeightedService& target : config.targets) {
    route->services.push_back(m_directory->GetService(target.service));
    weights.push_back(target.weight);
  }
  if (!weights.empty()) {
    std::shared_ptr<WeightedChoice>& choice = inherited.target_choice;
    if (choice == nullptr || choice->weights() != weights)
      choice = std::make_shared<WeightedChoice>(std::move(weights));
    route->target_choice = choice;
  }
  if (!config.gather.empty())
    route->required_parts =
        RequiredParts(config.min_shard_share, config.gather.size());
  route->config = std::move(config);
  return route;
}

RouteTablePtr RouteTableBuilder::Build(RoutingConfig config) {
  auto table = std::make_shared<RouteTable>();
  table->m_version = config.version;
  table->m_limits = config.limits;
  table->m_teams = TeamDirectory(config.teams);
  table->m_size = config.routes.size();
  for (const ServiceConfig& service : config.services)
    m_directory->SetMaxConnections(service.name, service.max_connections);
  for (RouteConfig& route : config.routes) {
    const std::string host = NormalizeHost(route.host);
    table->m_hosts[host].push_back(MakeRoute(std::move(route), *table));
  }
  for (auto& [host, routes] : table->m_hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RoutePtr& a, const RoutePtr& b) {
                       return a->config.prefix.size() > b->config.prefix.size();
                     });
  }
  return table;
}

}  // namespace wasabihook::gateway
