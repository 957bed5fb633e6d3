#include "gateway/service.h"

#include <algorithm>
#include <cmath>

#include "decision/routing/rendezvous.h"
#include "gateway/replica_cost.h"
#include "gateway/server_pause.h"

namespace wasabihook::gateway {
namespace {

// Cost added for a server outside this instance's subset, and random spread
// that breaks ties of equal costs.
constexpr double kOutsideSubsetCost = 5.0;
constexpr double kTieSpread = 0.05;
// Cost added for an unreachable server; above any other cost.
constexpr double kDownCost = 1000.0;

bool Contains(std::span<BackendServer* const> servers,
              const BackendServer* server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

}  // namespace

void Service::Add(std::shared_ptr<BackendServer> server) {
  m_servers.push_back(std::move(server));
}

void Service::Remove(const ServerId& id) {
  std::erase_if(m_servers,
                [&id](const auto& server) { return server->entry().id == id; });
}

// The fractional part of the share is rounded up for some instances and down
// for the others, so that the limits of all instances add up. Which instances
// round up differs between servers.
uint32_t OverloadConcurrencyLimit(uint32_t slots,
                                  uint32_t instances,
                                  double weight) {
  const double share =
      kOverloadConcurrencyFactor * slots / std::max<uint32_t>(instances, 1);
  const double integral = std::floor(share);
  return static_cast<uint32_t>(
      std::max(1.0, integral + (weight < share - integral ? 1 : 0)));
}

void Service::UpdateShare(const InstanceId& self, uint32_t instances) {
  m_budget.Configure(m_context->settings->bounds, instances);
  const double share = m_max_connections * (1 - kServerConnectionReserve) /
                       std::max<uint32_t>(instances, 1);
  const auto limit = static_cast<uint32_t>(std::clamp(
      std::floor(share), 1.0, static_cast<double>(kMaxConnectionsPerServer)));
  m_subset.clear();
  if (share < 1 && m_max_connections > 0) {
    // Fewer connections than instances: each instance prefers a subset of the
    // servers, which follows from its id and theirs.
    m_subset = Subset(self, share);
  }
  // A service that no configuration names yet may be about to take over, as
  // after a reshard. Its limit is unknown, so a single server is chosen.
  m_warm_set =
      m_subset.empty() && m_max_connections == 0 ? Subset(self, 0) : m_subset;
  m_overload_limits.clear();
  for (const auto& server : m_servers) {
    const ServerEntry& entry = server->entry();
    server->SetConnectionLimit(m_max_connections > 0 ? limit : 1);
    m_overload_limits[entry.id] = OverloadConcurrencyLimit(
        entry.slots, instances,
        RendezvousWeight(self.value(), entry.id.value()));
  }
}

// Prefers servers in the data centre of this instance. Rendezvous hashing
// orders the servers differently for each instance, and changes the order
// little when servers are added or removed.
std::vector<ServerId> Service::Subset(const InstanceId& self,
                                      double share) const {
  std::vector<std::string> ids;
  for (const auto& server : m_servers)
    ids.push_back(server->entry().id.value());
  const auto used = static_cast<size_t>(
      std::max(1.0, std::floor(share * static_cast<double>(ids.size()))));
  std::vector<size_t> order = RendezvousTopK(self.value(), ids, ids.size());
  std::stable_partition(order.begin(), order.end(), [this](size_t index) {
    return m_servers[index]->entry().data_centre ==
           m_context->settings->data_centre;
  });
  std::vector<ServerId> out;
  for (size_t i = 0; i < std::min(used, order.size()); ++i)
    out.emplace_back(ids[order[i]]);
  return out;
}

void Service::AppendCold(std::vector<ServerId>& out) const {
  const TimePoint now = m_context->loop->Now();
  for (const auto& server : m_servers) {
    const ServerId& id = server->entry().id;
    const bool preferred =
        m_warm_set.empty() ||
        std::find(m_warm_set.begin(), m_warm_set.end(), id) != m_warm_set.end();
    if (preferred && server->connections() == 0 && server->IsSound(now))
      out.push_back(id);
  }
}

bool Service::Admit(uint32_t priority,
                    double draw,
                    const AdmissionRate::TeamShare& team_share) {
  const bool was_limited = m_admission.limited();
  const bool admitted =
      m_admission.Admit(priority, draw, m_context->loop->Now(), team_share);
  LogLimitChange(was_limited);
  return admitted;
}

void Service::OnRejected() {
  const bool was_limited = m_admission.limited();
  m_admission.OnRejected(m_context->loop->Now());
  LogLimitChange(was_limited);
}

void Service::LogLimitChange(bool was_limited) const {
  if (m_admission.limited() == was_limited)
    return;
  if (was_limited) {
    m_context->log->Info("service_limit_lifted", {{"service", m_name.value()}});
    return;
  }
  m_context->log->Warning(
      "service_limited",
      {{"service", m_name.value()}, {"limit_per_s", m_admission.limit()}});
}

size_t Service::SoundServers() const {
  const TimePoint now = m_context->loop->Now();
  return static_cast<size_t>(std::count_if(
      m_servers.begin(), m_servers.end(),
      [now](const auto& server) { return server->IsSound(now); }));
}

bool Service::CanSpareAServer(std::optional<TimePoint> heard_since) const {
  if (!heard_since) {
    const size_t sound = SoundServers();
    return sound > 1 || sound == m_servers.size();
  }
  const TimePoint now = m_context->loop->Now();
  const auto heard = std::count_if(
      m_servers.begin(), m_servers.end(), [&](const auto& server) {
        return server->IsSound(now) &&
               server->health().last_contact() >= *heard_since;
      });
  return heard > 1;
}

ServerAfterLoss Service::StateSince(const BackendServer* server,
                                    TimePoint lost_at) const {
  const auto found = std::find_if(
      m_servers.begin(), m_servers.end(),
      [server](const auto& known) { return known.get() == server; });
  if (found == m_servers.end() || (*found)->health().down())
    return ServerAfterLoss::kEnded;
  return (*found)->health().last_contact() > lost_at
             ? ServerAfterLoss::kHeard
             : ServerAfterLoss::kUnknown;
}

void Service::ProbeServers(TimePoint since) {
  const TimePoint now = m_context->loop->Now();
  for (const auto& server : m_servers) {
    if (server->IsSound(now) && server->health().last_contact() < since)
      server->ProbeNow(now);
  }
}

void Service::CountDemand() {
  const TimePoint now = m_context->loop->Now();
  const size_t count = SoundServers();
  for (const auto& server : m_servers) {
    if (server->IsSound(now))
      server->OnDemand(1.0 / static_cast<double>(count), now);
  }
}

bool Service::IsAtLimit() const {
  const TimePoint now = m_context->loop->Now();
  bool any = false;
  for (const auto& server : m_servers) {
    if (!server->IsSound(now))
      continue;
    if (server->MaySend(now))
      return false;
    any = true;
  }
  return any;
}

bool Service::HasCapacity(const BackendServer& server) const {
  if (m_context->evacuations->Contains(server.entry().data_centre) ||
      !server.MaySend(m_context->loop->Now()) || !server.HasConnection() ||
      server.outstanding() >= server.entry().slots + kServerQueueDepth)
    return false;
  if (!m_admission.limited())
    return true;
  const auto limit = m_overload_limits.find(server.entry().id);
  return limit == m_overload_limits.end() ||
         server.outstanding() < limit->second;
}

bool Service::HasReadyServer(TimePoint now) const {
  return std::any_of(m_servers.begin(), m_servers.end(),
                     [now](const auto& server) {
                       return !server->draining() && !server->IsPaused(now);
                     });
}

std::optional<TimePoint> Service::PausedUntil() const {
  const TimePoint now = m_context->loop->Now();
  const bool has_ready = HasReadyServer(now);
  std::optional<TimePoint> out;
  for (const auto& server : m_servers) {
    if (server->AvailabilityAt(now) == Availability::kPaused)
      out = std::min(out.value_or(*server->paused_until()),
                     *server->paused_until());
    else if (!server->health().down() && server->IsUsable(now, has_ready))
      return std::nullopt;
  }
  return out;
}

bool Service::IsHeldBackAfterPause(const BackendServer& server,
                                   TimePoint now) const {
  const auto end = server.paused_until();
  return end && m_context->Uniform() >= ShareAfterPause(*end, now);
}

double Service::CostOf(const BackendServer& server, TimePoint now) const {
  ReplicaView view;
  view.relative_latency = server.Pace(now);
  view.failure_share = server.health().FailureShare(now);
  view.outstanding = server.outstanding();
  view.slots = server.entry().slots;
  view.warming_up = now < server.warm_up_end();
  view.stalled = server.IsStalled(now);
  view.remote = server.entry().data_centre != m_context->settings->data_centre;
  double cost = ReplicaCost(view) * (1 + kTieSpread * m_context->Uniform());
  if (!m_subset.empty() && std::find(m_subset.begin(), m_subset.end(),
                                     server.entry().id) == m_subset.end())
    cost += kOutsideSubsetCost;
  if (server.IsOutlier(now))
    cost += kOutlierCost;
  return cost;
}

BackendServer* Service::Pick(std::span<BackendServer* const> excluded,
                             bool hedge) const {
  const TimePoint now = m_context->loop->Now();
  const bool has_ready = HasReadyServer(now);
  std::vector<Candidate>& candidates = m_candidates;
  candidates.clear();
  for (const auto& server : m_servers) {
    if (Contains(excluded, server.get()) || !HasCapacity(*server) ||
        !server->IsUsable(now, has_ready) || (hedge && server->IsLimited()))
      continue;
    double cost = CostOf(*server, now);
    // Unreachable servers are used only if there is no other. Probes detect
    // when they are back.
    if (server->health().down() || IsHeldBackAfterPause(*server, now))
      cost += kDownCost;
    candidates.push_back({.server = server.get(), .cost = cost});
  }
  if (candidates.empty())
    return nullptr;
  const Candidate& best = *std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return m_context->settings->learns_capacity
             ? PickInProportion(candidates, best)
             : best.server;
}

// With estimates that all instances share, they would all choose the server
// that looks best. Servers of its data centre that are nearly as good get their
// part.
BackendServer* Service::PickInProportion(std::span<const Candidate> candidates,
                                         const Candidate& best) const {
  const auto weight_of = [&best](const Candidate& candidate) {
    const bool comparable = candidate.server->entry().data_centre ==
                                best.server->entry().data_centre &&
                            candidate.cost <= best.cost * kPaceChoiceFactor;
    return comparable ? 1 / std::max(candidate.cost * candidate.cost, 1e-6)
                      : 0.0;
  };
  double total = 0;
  for (const Candidate& candidate : candidates)
    total += weight_of(candidate);
  double draw = m_context->Uniform() * total;
  for (const Candidate& candidate : candidates) {
    draw -= weight_of(candidate);
    if (draw < 0)
      return candidate.server;
  }
  return best.server;
}

bool Service::MayHaveCapacityLater(
    std::span<BackendServer* const> excluded) const {
  const TimePoint now = m_context->loop->Now();
  return std::any_of(
      m_servers.begin(), m_servers.end(),
      [this, excluded, now](const auto& server) {
        return server->IsSound(now) && server->MaySend(now) &&
               !m_context->evacuations->Contains(server->entry().data_centre) &&
               !Contains(excluded, server.get());
      });
}

}  // namespace wasabihook::gateway
