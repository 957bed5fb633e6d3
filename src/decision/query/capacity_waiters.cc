#include "decision/query/capacity_waiters.h"

namespace wasabihook {

CapacityWaiters::Shard& CapacityWaiters::ShardOf(const ServerId& server) {
  return m_shards[std::hash<ServerId>{}(server) % m_shards.size()];
}

uint64_t CapacityWaiters::Add(const ShardGroup& group, QueryHandle query) {
  const uint64_t ticket = m_next_ticket.fetch_add(1);
  for (const BackendServer& server : group.servers) {
    Shard& shard = ShardOf(server.id);
    std::lock_guard lock(shard.mutex);
    auto& waiters = shard.waiters[server.id];
    if (waiters.size() < config::kMaxCapacityWaiters) {
      waiters.emplace(ticket, query);
    }
  }
  return ticket;
}

void CapacityWaiters::Remove(const ShardGroup& group, uint64_t ticket) {
  for (const BackendServer& server : group.servers) {
    Shard& shard = ShardOf(server.id);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.waiters.find(server.id); it != shard.waiters.end()) {
      it->second.erase(ticket);
      if (it->second.empty()) {
        shard.waiters.erase(it);
      }
    }
  }
}

std::optional<CapacityWaiter> CapacityWaiters::Take(const ServerId& server,
                                                    uint64_t end) {
  Shard& shard = ShardOf(server);
  std::lock_guard lock(shard.mutex);
  auto it = shard.waiters.find(server);
  if (it == shard.waiters.end()) {
    return std::nullopt;
  }
  const auto first = it->second.begin();
  if (first->first >= end) {
    return std::nullopt;
  }
  const CapacityWaiter waiter{first->second, first->first};
  it->second.erase(first);
  if (it->second.empty()) {
    shard.waiters.erase(it);
  }
  return waiter;
}

}  // namespace wasabihook
