#include "gateway/server_demand.h"

#include <algorithm>
#include <numeric>

namespace wasabihook::gateway {

void MergeDemand(DemandDigest& into, const DemandDigest& from) {
  for (const auto& [server, per_second] : from.per_second)
    into.per_second[server] += per_second;
  into.instances += from.instances;
}

void LocalDemand::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / (kDemandWindow / kSlices);
  if (slice <= m_slice)
    return;
  const int64_t steps = std::min(slice - m_slice, kSlices);
  for (auto& [server, counts] : m_servers) {
    for (int64_t i = 0; i < steps; ++i)
      counts.at(static_cast<size_t>((slice - i) % kSlices)) = 0;
  }
  m_slice = slice;
  std::erase_if(m_servers, [](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [](double count) { return count == 0; });
  });
}

void LocalDemand::Add(ServerKey server, double requests, TimePoint now) {
  Advance(now);
  m_servers[server].at(static_cast<size_t>(m_slice % kSlices)) += requests;
}

DemandDigest LocalDemand::Digest(TimePoint now) {
  Advance(now);
  // The newest slice is not over.
  constexpr Duration kSlice = kDemandWindow / kSlices;
  const Duration window = kSlice * (kSlices - 1) + now.since_epoch % kSlice;
  const double window_seconds = static_cast<double>(window.count()) / 1e6;
  DemandDigest out{.per_second = {}, .instances = 1};
  for (const auto& [server, counts] : m_servers)
    out.per_second[server] =
        std::accumulate(counts.begin(), counts.end(), 0.0) / window_seconds;
  return out;
}

DemandDigest FleetDemand::Subtree(TimePoint now) {
  DemandDigest out = m_local.Digest(now);
  m_tree.AddFollowers(out, now);
  return out;
}

DemandDigest FleetDemand::Total(bool root, TimePoint now) {
  if (!root)
    return m_tree.Result(now);
  DemandDigest out = Subtree(now);
  m_tree.AddDataCentres(out, now);
  return out;
}

}  // namespace wasabihook::gateway
