#include "decision/routing/retry_budget.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <unordered_map>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

struct Bucket {
  double tokens = config::kRetryTokenReserve;
  double earned_share = 0;
};

// Tokens are earned by first attempts only and not over time, so the extra load
// of any sequence of requests is at most the reserve plus the configured share
// of its first attempts.
class TokenRetryBudget : public RetryBudget {
 public:
  void OnFirstAttempt(const TeamId& team, Fraction share) override {
    Shard& shard = ShardOf(team);
    std::lock_guard lock(shard.mutex);
    Bucket& bucket = shard.buckets[team];
    bucket.earned_share = std::clamp(share.value, 0.0, 1.0);
    bucket.tokens =
        std::min(bucket.tokens + bucket.earned_share, config::kMaxRetryTokens);
  }

  bool TrySpend(const TeamId& team) override { return SpendToken(team, 0); }

  bool TrySpendForHedge(const TeamId& team) override {
    return SpendToken(team, config::kRetryTokenReserve);
  }

  void Refund(const TeamId& team) override {
    Shard& shard = ShardOf(team);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.buckets.find(team); it != shard.buckets.end()) {
      it->second.tokens =
          std::min(it->second.tokens + 1, config::kMaxRetryTokens);
    }
  }

 private:
  struct Shard {
    std::mutex mutex;
    std::unordered_map<TeamId, Bucket> buckets;
  };

  Shard& ShardOf(const TeamId& team) {
    return m_shards.at(std::hash<TeamId>{}(team) % m_shards.size());
  }

  // Takes one token if at least `min_remaining` tokens remain afterwards. Fails
  // if the share is zero, regardless of the tokens accumulated before.
  bool SpendToken(const TeamId& team, double min_remaining) {
    Shard& shard = ShardOf(team);
    std::lock_guard lock(shard.mutex);
    auto it = shard.buckets.find(team);
    if (it == shard.buckets.end() || it->second.earned_share <= 0 ||
        it->second.tokens < min_remaining + 1) {
      return false;
    }
    it->second.tokens -= 1;
    return true;
  }

  std::array<Shard, config::kStateShards> m_shards;
};

}  // namespace

std::unique_ptr<RetryBudget> RetryBudget::Create() {
  return std::make_unique<TokenRetryBudget>();
}

}  // namespace wasabihook
