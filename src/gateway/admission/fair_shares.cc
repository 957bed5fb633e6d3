#include "gateway/admission/fair_shares.h"

#include <algorithm>
#include <numeric>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

void FairShares::SetDemand(const TeamDemandDigest& demand) {
  m_demand = demand;
  m_sorted.clear();
  for (const auto& [team, work] : m_demand)
    m_sorted.push_back(work);
  std::sort(m_sorted.begin(), m_sorted.end());
  m_total = std::accumulate(m_sorted.begin(), m_sorted.end(), 0.0);
}

// Fills the demands from the smallest one on.
double FairShares::LevelFor(double room) const {
  double left = room;
  for (size_t i = 0; i < m_sorted.size(); ++i) {
    const double equal = left / static_cast<double>(m_sorted.size() - i);
    if (m_sorted[i] >= equal)
      return equal;
    left -= m_sorted[i];
  }
  return m_sorted.empty() ? 0 : m_sorted.back();
}

double FairShares::ShareOf(TeamKey team, double admitted_share) const {
  if (admitted_share >= 1 || m_demand.size() < 2 || m_total <= 0)
    return admitted_share;
  const auto found = m_demand.find(team);
  if (found == m_demand.end() || found->second <= 0)
    return 1;
  const double level = LevelFor(admitted_share * m_total);
  return std::clamp(level / found->second, kMinTeamShare * admitted_share, 1.0);
}

}  // namespace wasabihook::gateway
