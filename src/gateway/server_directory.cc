#include "gateway/server_directory.h"

#include <algorithm>
#include <unordered_set>

namespace wasabihook::gateway {
namespace {

// Period of the checks for connection timeouts and due removals.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(50);

const char* StateName(ServerState state) {
  return state == ServerState::kReady ? "ready" : "draining";
}

// True if the same start of the server has said something newer than `entry`.
bool IsOlderStatement(const ServerEntry& entry, const ServerEntry& known) {
  return entry.started_at_ms == known.started_at_ms && entry.sequence &&
         known.sequence && *entry.sequence < *known.sequence;
}

}  // namespace

ServerDirectory::ServerDirectory(GatewayContext* context)
    : m_context(context),
      m_instances_changed_at(context->loop->Now()),
      m_sweep(
          context->loop->SubscribeEvery(kSweepPeriod, [this] { Sweep(); })) {}

ServerDirectory::~ServerDirectory() {
  m_context->loop->Unsubscribe(m_sweep);
}

std::shared_ptr<Service> ServerDirectory::GetService(const ServiceName& name) {
  std::shared_ptr<Service>& service = m_services[name];
  if (service == nullptr) {
    service = std::make_shared<Service>(m_context, name);
    if (const auto found = m_max_connections.find(name);
        found != m_max_connections.end())
      service->SetMaxConnections(found->second);
    service->UpdateShare(m_context->settings->instance, m_instances);
  }
  return service;
}

void ServerDirectory::SetMaxConnections(const ServiceName& name,
                                        uint32_t max_connections) {
  uint32_t& known = m_max_connections[name];
  if (known == max_connections)
    return;
  known = max_connections;
  const std::shared_ptr<Service> service = GetService(name);
  service->SetMaxConnections(max_connections);
  service->UpdateShare(m_context->settings->instance, m_instances);
}

void ServerDirectory::SetInstanceCount(uint32_t instances) {
  if (instances == m_instances)
    return;
  m_context->log->Info("instances_changed",
                       {{"from", m_instances}, {"to", instances}});
  m_instances = instances;
  m_instances_changed_at = m_context->loop->Now();
  UpdateServiceShares();
}

void ServerDirectory::UpdateServiceShares() {
  for (const auto& [name, service] : m_services)
    service->UpdateShare(m_context->settings->instance, m_instances);
}

void ServerDirectory::Add(ServerEntry entry, StorePosition position) {
  const ServerId id = entry.id;
  Record record;
  record.position = position;
  record.service = GetService(entry.service);
  record.server = std::make_shared<BackendServer>(m_context, std::move(entry));
  record.service->Add(record.server);
  record.service->UpdateShare(m_context->settings->instance, m_instances);
  m_servers.emplace(id, std::move(record));
}

// A restored store lists what a server said before its last statement, which
// may have been that it leaves.
bool ServerDirectory::IsOutdated(const ServerEntry& entry,
                                 StorePosition position,
                                 EntrySource source) const {
  const auto found = m_servers.find(entry.id);
  return (found != m_servers.end() &&
          IsOlderStatement(entry, found->second.server->entry())) ||
         m_departed.IsListedAgain(entry, position,
                                  source != EntrySource::kChange);
}

void ServerDirectory::Apply(ServerEntry entry,
                            StorePosition position,
                            EntrySource source) {
  const ServerId id = entry.id;
  const ServerState state = entry.state;
  auto found = m_servers.find(id);
  if (found != m_servers.end() && found->second.position >= position)
    return;
  if (IsOutdated(entry, position, source)) {
    m_context->metrics->CountServerEntry("outdated");
    m_context->log->Info("server_entry_stale",
                         {{"server", id.value()},
                          {"sequence", entry.sequence.value_or(0)},
                          {"known", found != m_servers.end()},
                          {"era", position.era.value()},
                          {"revision", position.revision.value()}});
    return;
  }
  m_departed.Remove(id);
  if (found != m_servers.end() &&
      found->second.service->name() != entry.service) {
    Drop(id);
    found = m_servers.end();
  }
  if (found == m_servers.end()) {
    if (source != EntrySource::kFirstListing)
      m_context->log->Info("server_listed",
                           {{"server", id.value()},
                            {"service", entry.service.value()},
                            {"address", entry.address},
                            {"state", StateName(state)},
                            {"sequence", entry.sequence.value_or(0)},
                            {"revision", position.revision.value()}});
    Add(std::move(entry), position);
    found = m_servers.find(id);
  } else {
    if (found->second.server->entry().state != state ||
        found->second.removal_at)
      m_context->log->Info(
          "server_changed",
          {{"server", id.value()},
           {"state", StateName(state)},
           {"sequence", entry.sequence.value_or(0)},
           {"was_removed", found->second.removal_at.has_value()},
           {"revision", position.revision.value()}});
    found->second.position = position;
    found->second.server->Update(std::move(entry));
  }
  Record& record = found->second;
  record.removal_at.reset();
  record.removed = false;
  if (state == ServerState::kDraining)
    record.server->StartDraining(m_context->loop->Now());
  else
    record.server->StopDraining();
}

// Entries that are removed shortly after an outage of the store, or many at
// once, belong to leases that most likely expired. They get a longer grace
// period.
Duration ServerDirectory::RemovalGrace() const {
  const TimePoint now = m_context->loop->Now();
  if (m_leases_lost_at && now - *m_leases_lost_at < kLeaseExpiryGrace)
    return kLeaseExpiryGrace;
  const auto pending = static_cast<double>(
      std::count_if(m_servers.begin(), m_servers.end(), [](const auto& entry) {
        return entry.second.removal_at && !entry.second.removed;
      }));
  return pending > kMassRemovalShare * static_cast<double>(m_servers.size())
             ? kMassRemovalGrace
             : kRemovalGrace;
}

void ServerDirectory::Remove(const ServerId& id, StorePosition position) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end() || found->second.position >= position ||
      found->second.removal_at)
    return;
  Record& record = found->second;
  record.position = position;
  m_departed.Add(record.server->entry(), position, m_context->loop->Now());
  const bool drained = record.server->draining();
  const Duration grace = drained ? Duration(0) : RemovalGrace();
  record.removal_at = m_context->loop->Now() + grace;
  m_context->log->Info("server_removed",
                       {{"server", id.value()},
                        {"service", record.service->name().value()},
                        {"drained", drained},
                        {"grace_ms", grace.count() / 1000},
                        {"revision", position.revision.value()}});
}

void ServerDirectory::Reconcile(const std::vector<ServerId>& listed,
                                StorePosition position) {
  const std::unordered_set<ServerId> present(listed.begin(), listed.end());
  std::vector<ServerId> missing;
  for (const auto& [id, record] : m_servers) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const ServerId& id : missing)
    Remove(id, position);
}

void ServerDirectory::OnLeasesLost() {
  const TimePoint now = m_context->loop->Now();
  m_leases_lost_at = now;
  for (auto& [id, record] : m_servers) {
    if (record.removal_at && !record.removed)
      record.removal_at = now + kLeaseExpiryGrace;
  }
}

void ServerDirectory::Drop(const ServerId& id) {
  const auto found = m_servers.find(id);
  if (found == m_servers.end())
    return;
  found->second.server->StartDraining(m_context->loop->Now());
  found->second.service->Remove(id);
  m_warmer.Forget(id);
  if (!found->second.server->idle())
    m_draining_servers.push_back(found->second.server);
  m_servers.erase(found);
}

std::map<Availability, size_t> ServerDirectory::CountByAvailability() const {
  std::map<Availability, size_t> out = {{Availability::kSound, 0},
                                        {Availability::kLeaving, 0},
                                        {Availability::kPaused, 0},
                                        {Availability::kMisdirected, 0},
                                        {Availability::kDown, 0}};
  const TimePoint now = m_context->loop->Now();
  for (const auto& [id, record] : m_servers)
    ++out[record.server->AvailabilityAt(now)];
  return out;
}

size_t ServerDirectory::usable() const {
  return static_cast<size_t>(std::count_if(
      m_servers.begin(), m_servers.end(),
      [](const auto& entry) { return !entry.second.server->draining(); }));
}

void ServerDirectory::WarmUp(TimePoint now) {
  if (m_context->answer_by || now - m_instances_changed_at < kWarmUpDelay)
    return;
  std::vector<ServerId> cold;
  for (const auto& [name, service] : m_services)
    service->AppendCold(cold);
  for (const ServerId& id : m_warmer.Select(cold, now))
    m_servers.at(id).server->WarmUp();
}

void ServerDirectory::Sweep() {
  const TimePoint now = m_context->loop->Now();
  for (const auto& server : m_draining_servers)
    server->Sweep(now);
  std::erase_if(m_draining_servers,
                [](const auto& server) { return server->idle(); });
  std::vector<ServerId> expired;
  for (auto& [id, record] : m_servers) {
    record.server->Sweep(now);
    if (record.removal_at && !record.removed && now >= *record.removal_at) {
      record.removed = true;
      record.server->ReportEnd();
      record.server->StartDraining(now);
    }
    if (record.removed && record.server->idle() &&
        now - *record.removal_at > kDrainingFallbackPeriod)
      expired.push_back(id);
  }
  for (const ServerId& id : expired)
    Drop(id);
  m_departed.Sweep(now);
  WarmUp(now);
}

}  // namespace wasabihook::gateway
