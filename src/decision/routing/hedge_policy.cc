#include "decision/routing/hedge_policy.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>

#include "decision/routing/latency_histogram.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Number of replies after which a group's delay is recomputed.
constexpr uint32_t kRepliesPerUpdate = 8;
// Smoothing factor for increases of the long-term median. It is small so that
// an overload does not become the baseline: an eightfold latency is accepted as
// the new baseline only after about a thousand replies.
constexpr double kBaselineRise = 0.002;

struct KeyHash {
  size_t operator()(const ShardGroupKey& key) const noexcept {
    size_t hash = std::hash<TeamId>{}(key.team);
    hash = hash * 31 + std::hash<IndexSetId>{}(key.index_set);
    return hash * 31 + std::hash<ShardGroupId>{}(key.group);
  }
};

struct KeyEqual {
  bool operator()(const ShardGroupKey& a,
                  const ShardGroupKey& b) const noexcept {
    return a.group == b.group && a.index_set == b.index_set && a.team == b.team;
  }
};

// Recent latencies of one shard group and the hedge delay computed from them.
class GroupHedgeDelay {
 public:
  void Observe(Duration latency) {
    m_recent_latencies.Add(latency);
    if (m_recent_latencies.count() >= config::kHedgeMinReplies &&
        m_recent_latencies.count() % kRepliesPerUpdate == 0) {
      UpdateDelay();
    }
  }

  Duration delay() const { return m_delay; }
  uint64_t last_observation = 0;

 private:
  void UpdateDelay() {
    const Duration median = m_recent_latencies.Quantile(0.5);
    const auto micros = static_cast<double>(median.count());
    m_baseline_median =
        m_baseline_median == 0 || micros < m_baseline_median
            ? micros
            : m_baseline_median + (micros - m_baseline_median) * kBaselineRise;
    if (micros > m_baseline_median * config::kHedgeOverloadFactor) {
      m_delay = Duration::max();
      return;
    }
    const Duration median_floor(
        static_cast<int64_t>(micros * config::kHedgeMedianFactor));
    m_delay =
        std::max({m_recent_latencies.Quantile(config::kHedgeQuantile.value),
                  median_floor, config::kMinHedgeDelay});
  }

  LatencyHistogram m_recent_latencies{config::kHedgeWindowReplies};
  // Long-term median in microseconds; follows decreases at once and increases
  // slowly.
  double m_baseline_median = 0;
  Duration m_delay = config::kInitialHedgeDelay;
};

class QuantileHedgePolicy : public HedgePolicy {
 public:
  Duration DelayFor(const ShardGroupKey& group, bool pool_overloaded) override {
    if (pool_overloaded) {
      return Duration::max();
    }
    Shard& shard = ShardOf(group);
    std::lock_guard lock(shard.mutex);
    auto it = shard.groups.find(group);
    return it == shard.groups.end() ? config::kInitialHedgeDelay
                                    : it->second.delay();
  }

  void Observe(const ShardGroupKey& group, Duration latency) override {
    Shard& shard = ShardOf(group);
    std::lock_guard lock(shard.mutex);
    auto it = shard.groups.find(group);
    if (it == shard.groups.end()) {
      EvictIfFull(shard);
      it = shard.groups.try_emplace(group).first;
    }
    it->second.last_observation = ++shard.observations;
    it->second.Observe(latency);
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<ShardGroupKey, GroupHedgeDelay, KeyHash, KeyEqual>
        groups;
    uint64_t observations = 0;
  };

  Shard& ShardOf(const ShardGroupKey& group) {
    return m_shards.at(KeyHash{}(group) % m_shards.size());
  }

  // Evicts the least recently observed group if the shard is full.
  static void EvictIfFull(Shard& shard) {
    if (shard.groups.size() < config::kMaxHedgeGroups / config::kStateShards) {
      return;
    }
    shard.groups.erase(std::min_element(
        shard.groups.begin(), shard.groups.end(),
        [](const auto& a, const auto& b) {
          return a.second.last_observation < b.second.last_observation;
        }));
  }

  std::array<Shard, config::kStateShards> m_shards;
};

}  // namespace

std::unique_ptr<HedgePolicy> HedgePolicy::Create() {
  return std::make_unique<QuantileHedgePolicy>();
}

}  // namespace wasabihook
