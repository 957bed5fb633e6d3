#include "decision/burn/burn_counters.h"

#include <algorithm>
#include <utility>

#include "decision/burn/burn_cell.h"

namespace wasabihook {

BurnCounters::BurnCounters(const TimerService* timers,
                           const SettingsView* settings)
    : m_timers(timers), m_settings(settings) {}

int64_t BurnCounters::CurrentMinute() const {
  return std::chrono::floor<std::chrono::minutes>(
             m_timers->WallNow().since_unix_epoch)
      .count();
}

void BurnCounters::Record(const RequestOutcome& outcome) {
  const TeamSettingsPtr settings = m_settings->Team(outcome.team);
  // Teams without settings are not counted, since callers could send arbitrary
  // names.
  if (!settings || !CountsForObjectives(outcome)) {
    return;
  }
  const int64_t minute = CurrentMinute();
  Shard& shard = m_shards[std::hash<TeamId>{}(outcome.team) % m_shards.size()];
  std::lock_guard lock(shard.mutex);
  auto [it, is_new] = shard.open.try_emplace(outcome.team);
  OpenCell& open = it->second;
  // The minute may also be an earlier one, if the wall clock was set back.
  if (!is_new && open.minute != minute) {
    shard.finished.emplace_back(
        open.minute,
        TeamBurn{outcome.team, open.objectives, std::move(open.cell)});
    open.cell = BurnCell{};
  }
  open.minute = minute;
  open.objectives = {settings->latency_objective, settings->latency_target,
                     settings->coverage_target};
  AddOutcome(outcome, settings->latency_objective, open.cell);
}

void BurnCounters::CloseMinutes(bool include_open) {
  std::map<int64_t, BurnBucket> by_minute;
  for (Shard& shard : m_shards) {
    std::lock_guard lock(shard.mutex);
    const int64_t minute = CurrentMinute();
    for (auto it = shard.open.begin(); it != shard.open.end();) {
      if (!include_open && it->second.minute == minute) {
        ++it;
        continue;
      }
      shard.finished.emplace_back(it->second.minute,
                                  TeamBurn{it->first, it->second.objectives,
                                           std::move(it->second.cell)});
      it = shard.open.erase(it);
    }
    for (auto& [cell_minute, team] : shard.finished) {
      by_minute[cell_minute].teams.push_back(std::move(team));
    }
    shard.finished.clear();
  }
  for (auto& [cell_minute, bucket] : by_minute) {
    bucket.minute = cell_minute;
    bucket.sequence = m_next_sequence++;
    m_closed.push_back(std::move(bucket));
  }
  while (m_closed.size() > config::kBurnRetainedBuckets) {
    m_closed.pop_front();
    ++m_lost_buckets;
  }
}

void BurnCounters::DropAcknowledged() {
  while (!m_closed.empty() && m_closed.front().sequence <= m_acknowledged) {
    m_closed.pop_front();
  }
}

std::vector<BurnBucket> BurnCounters::Collect(uint64_t acknowledged) {
  std::lock_guard lock(m_closed_mutex);
  m_acknowledged = std::max(m_acknowledged, acknowledged);
  DropAcknowledged();
  CloseMinutes(/*include_open=*/false);
  const size_t count =
      std::min<size_t>(m_closed.size(), config::kBurnBucketsPerResponse);
  return {m_closed.begin(), m_closed.begin() + static_cast<int64_t>(count)};
}

std::vector<BurnBucket> BurnCounters::CollectAll() {
  std::lock_guard lock(m_closed_mutex);
  CloseMinutes(/*include_open=*/true);
  return {m_closed.begin(), m_closed.end()};
}

uint64_t BurnCounters::lost_buckets() const {
  std::lock_guard lock(m_closed_mutex);
  return m_lost_buckets;
}

}  // namespace wasabihook
