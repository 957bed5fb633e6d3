#include "gateway/server_limits.h"

#include <algorithm>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void ServerLimits::SetInstances(uint32_t instances) {
  m_instances = std::max<uint32_t>(instances, 1);
}

double ServerLimits::Rate(const Limit& limit) const {
  return std::max(*limit.per_second, kMinServerLimit) / m_instances;
}

double ServerLimits::Tokens(const Limit& limit, TimePoint now) const {
  const double rate = Rate(limit);
  const double elapsed = static_cast<double>((now - limit.filled_at).count()) /
                         kMicrosecondsPerSecond;
  const double most =
      std::max(1.0, rate * static_cast<double>(kLimitBurstTime.count()) /
                        kMicrosecondsPerSecond);
  return std::min(most, limit.tokens + rate * std::max(elapsed, 0.0));
}

std::optional<double> ServerLimits::LimitOf(ServerKey server) const {
  const auto found = m_limits.find(server);
  return found == m_limits.end() ? std::nullopt : found->second.per_second;
}

double ServerLimits::ShareOf(ServerKey server) const {
  return Rate(m_limits.at(server));
}

bool ServerLimits::IsThin(ServerKey server,
                          const Limit& limit,
                          TimePoint now) const {
  return Rate(limit) < kMinBucketRate &&
         now - m_total_demand_at <= kObservationExpiry &&
         m_total_demand.per_second.contains(server);
}

void ServerLimits::SetTotalDemand(DemandDigest total, TimePoint now) {
  // The average smooths the noise of thin traffic; the newest value shows a
  // spike.
  const double unheard = std::max(
      1.0, static_cast<double>(m_instances) / std::max(total.instances, 1U));
  DemandDigest average;
  for (auto& [server, per_second] : total.per_second) {
    per_second *= unheard;
    const auto known = m_average_demand.per_second.find(server);
    average.per_second[server] =
        known == m_average_demand.per_second.end()
            ? per_second
            : known->second + kDemandWeight * (per_second - known->second);
  }
  m_average_demand = std::move(average);
  m_total_demand = std::move(total);
  m_total_demand_at = now;
}

void ServerLimits::OnDemand(ServerKey server, double requests, TimePoint now) {
  const auto found = m_limits.find(server);
  if (found == m_limits.end() || !found->second.per_second)
    return;
  m_fleet_demand.local().Add(server, requests, now);
  Limit& limit = found->second;
  if (!IsThin(server, limit, now))
    return;
  const double most =
      kThinLimitShare * std::max(*limit.per_second, kMinServerLimit);
  const double newest = m_total_demand.per_second.at(server);
  const double average = m_average_demand.per_second.at(server);
  // After a spike, less is sent for a while, to make up for what was sent
  // before its demand was known.
  const double demand = newest > kDemandSpikeFactor * average
                            ? newest * newest / average
                            : average;
  limit.granted = m_uniform() < most / std::max(demand, most);
}

bool ServerLimits::MaySend(ServerKey server, TimePoint now) const {
  if (m_limits.empty())
    return true;
  const auto found = m_limits.find(server);
  if (found == m_limits.end() || !found->second.per_second)
    return true;
  return IsThin(server, found->second, now) ? found->second.granted
                                            : Tokens(found->second, now) >= 1;
}

void ServerLimits::OnSend(ServerKey server, TimePoint now) {
  if (m_limits.empty())
    return;
  const auto found = m_limits.find(server);
  if (found == m_limits.end() || !found->second.per_second)
    return;
  found->second.granted = false;
  found->second.tokens = std::max(Tokens(found->second, now) - 1, 0.0);
  found->second.filled_at = now;
}

bool ServerLimits::Apply(const LimitStatement& statement, TimePoint now) {
  const auto found = m_limits.find(statement.server);
  if (found == m_limits.end()) {
    if (!statement.per_second || m_limits.size() >= kMaxServerLimits)
      return false;
    // A random part of the first token, so that the instances don't all send at
    // the same moment.
    m_limits.emplace(statement.server, Limit{.per_second = statement.per_second,
                                             .stated_at = statement.at,
                                             .known_at = now,
                                             .tokens = m_uniform(),
                                             .filled_at = now});
    return true;
  }
  Limit& limit = found->second;
  if (statement.at <= limit.stated_at)
    return false;
  const bool changed = statement.per_second != limit.per_second;
  if (changed) {
    limit.tokens = limit.per_second ? Tokens(limit, now) : m_uniform();
    limit.filled_at = now;
    limit.per_second = statement.per_second;
  }
  limit.stated_at = statement.at;
  if (changed || now - limit.known_at >= kLimitRefresh)
    limit.known_at = now;
  return changed;
}

size_t ServerLimits::Merge(const std::vector<LimitStatement>& statements,
                           TimePoint now) {
  return static_cast<size_t>(
      std::count_if(statements.begin(), statements.end(),
                    [this, now](const LimitStatement& statement) {
                      return Apply(statement, now);
                    }));
}

std::vector<LimitStatement> ServerLimits::NewsSince(TimePoint since) const {
  std::vector<LimitStatement> out;
  for (const auto& [server, limit] : m_limits) {
    if (limit.known_at > since && out.size() < kMaxLimitsInMessage)
      out.push_back({.server = server,
                     .per_second = limit.per_second,
                     .at = limit.stated_at});
  }
  return out;
}

void ServerLimits::Sweep(TimePoint now) {
  std::erase_if(m_limits, [now](const auto& entry) {
    return now - entry.second.stated_at > kLimitExpiry;
  });
}

size_t ServerLimits::limited() const {
  return static_cast<size_t>(std::count_if(
      m_limits.begin(), m_limits.end(),
      [](const auto& entry) { return entry.second.per_second.has_value(); }));
}

}  // namespace wasabihook::gateway
