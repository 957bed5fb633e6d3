#include "decision/query/in_flight_bodies.h"

namespace wasabihook {

void InFlightBodies::Add(const ServerId& server,
                         const SubRequestId& id,
                         const QuarantineEntry& body) {
  Shard& shard = m_shards[IndexOf(server)];
  std::lock_guard lock(shard.mutex);
  shard.bodies[server].emplace(id, body);
}

void InFlightBodies::Remove(const ServerId& server, const SubRequestId& id) {
  Shard& shard = m_shards[IndexOf(server)];
  std::lock_guard lock(shard.mutex);
  if (auto it = shard.bodies.find(server); it != shard.bodies.end()) {
    it->second.erase(id);
    if (it->second.empty()) {
      shard.bodies.erase(it);
    }
  }
}

std::vector<QuarantineEntry> InFlightBodies::ForServer(
    const ServerId& server) const {
  const Shard& shard = m_shards[IndexOf(server)];
  std::lock_guard lock(shard.mutex);
  std::vector<QuarantineEntry> bodies;
  if (auto it = shard.bodies.find(server); it != shard.bodies.end()) {
    for (const auto& [id, body] : it->second) {
      bodies.push_back(body);
    }
  }
  return bodies;
}

}  // namespace wasabihook
