#include "gateway/admission/team_demand.h"

#include <algorithm>
#include <numeric>

namespace wasabihook::gateway {

void MergeTeamDemand(TeamDemandDigest& into, const TeamDemandDigest& from) {
  for (const auto& [team, work] : from)
    into[team] += work;
}

void TeamDemand::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / (kTeamDemandWindow / kSlices);
  if (slice <= m_slice)
    return;
  const int64_t steps = std::min(slice - m_slice, kSlices);
  for (auto& [team, work] : m_teams) {
    for (int64_t i = 0; i < steps; ++i)
      work.at(static_cast<size_t>((slice - i) % kSlices)) = 0;
  }
  m_slice = slice;
  std::erase_if(m_teams, [](const auto& entry) {
    return std::all_of(entry.second.begin(), entry.second.end(),
                       [](double work) { return work == 0; });
  });
}

void TeamDemand::Add(TeamKey team, double work, TimePoint now) {
  Advance(now);
  m_teams[team].at(static_cast<size_t>(m_slice % kSlices)) += work;
}

TeamDemandDigest TeamDemand::Local(TimePoint now) {
  Advance(now);
  const double seconds = static_cast<double>(kTeamDemandWindow.count()) / 1e6;
  TeamDemandDigest out;
  for (const auto& [team, work] : m_teams)
    out[team] = std::accumulate(work.begin(), work.end(), 0.0) / seconds;
  return out;
}

TeamDemandDigest TeamDemand::Subtree(TimePoint now) {
  TeamDemandDigest out = Local(now);
  m_tree.AddFollowers(out, now);
  return out;
}

TeamDemandDigest TeamDemand::Total(bool root, TimePoint now) {
  if (!root)
    return m_tree.Result(now);
  TeamDemandDigest out = Subtree(now);
  m_tree.AddDataCentres(out, now);
  return out;
}

}  // namespace wasabihook::gateway
