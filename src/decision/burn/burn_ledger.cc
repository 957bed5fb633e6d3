#include "decision/burn/burn_ledger.h"

#include <algorithm>
#include <utility>

namespace wasabihook {
namespace {

constexpr int32_t kFiveMinutes = 5;
constexpr int32_t kHour = 60;

int64_t InMinutes(Duration duration) {
  return std::chrono::duration_cast<std::chrono::minutes>(duration).count();
}

// Interval that a cell belongs to at `now_minute`. Widens in steps, so that a
// late bucket ends up in the same interval as one that came in time.
BurnInterval IntervalAt(BurnInterval span, int64_t now_minute) {
  const auto older_than = [now_minute](const BurnInterval& s, Duration age) {
    return s.start + s.width <= now_minute - InMinutes(age);
  };
  if (span.width < kFiveMinutes &&
      older_than(span, config::kBurnMinuteCellRetention)) {
    span = {span.start - span.start % kFiveMinutes, kFiveMinutes};
  }
  if (span.width == kFiveMinutes &&
      older_than(span, config::kBurnFiveMinuteCellRetention)) {
    span = {span.start - span.start % kHour, kHour};
  }
  return span;
}

void CompactTeam(TeamLedger& team, int64_t now_minute) {
  std::map<BurnInterval, BurnCell> cells;
  for (auto& [span, cell] : team.cells) {
    const BurnInterval target = IntervalAt(span, now_minute);
    if (target.start + target.width <=
        now_minute - InMinutes(config::kBurnHourCellRetention)) {
      continue;
    }
    if (auto [it, is_new] = cells.try_emplace(target, cell); !is_new) {
      it->second.Merge(cell);
    }
  }
  team.cells = std::move(cells);
}

}  // namespace

bool BurnLedger::Fold(const BurnSource& source,
                      const BurnBucket& bucket,
                      int64_t now_minute) {
  auto it = watermarks.find(source);
  if (it == watermarks.end()) {
    if (bucket.minute <= horizon_minute) {
      ++refused_buckets;
      return false;
    }
    it = watermarks.emplace(source, BurnWatermark{}).first;
  }
  BurnWatermark& watermark = it->second;
  if (bucket.sequence <= watermark.sequence) {
    return false;
  }
  watermark.sequence = bucket.sequence;
  watermark.newest_minute = std::max(watermark.newest_minute, bucket.minute);
  const int64_t minute = std::min(bucket.minute, now_minute);
  for (const TeamBurn& burn : bucket.teams) {
    auto [team, is_new] = teams.try_emplace(burn.team);
    if (is_new || minute >= newest_minute) {
      team->second.objectives = burn.objectives;
    }
    team->second.cells[{minute, 1}].Merge(burn.cell);
  }
  newest_minute = std::max(newest_minute, minute);
  return true;
}

void BurnLedger::Compact(int64_t now_minute) {
  for (auto it = teams.begin(); it != teams.end();) {
    CompactTeam(it->second, now_minute);
    it = it->second.cells.empty() ? teams.erase(it) : std::next(it);
  }
  // The horizon never moves back, so that refused buckets remain refused.
  horizon_minute = std::max(
      horizon_minute, now_minute - InMinutes(config::kBurnWatermarkRetention));
  std::erase_if(watermarks, [this](const auto& entry) {
    return entry.second.newest_minute <= horizon_minute;
  });
}

void BurnLedger::DropDetail(int32_t width) {
  for (auto& [id, team] : teams) {
    for (auto& [span, cell] : team.cells) {
      if (span.width >= width) {
        cell.latency = BurnHistogram();
        cell.causes.clear();
      }
    }
  }
}

uint64_t BurnLedger::LastFoldedSequence(const BurnSource& source) const {
  const auto it = watermarks.find(source);
  return it == watermarks.end() ? 0 : it->second.sequence;
}

}  // namespace wasabihook
