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
  double share = 0;
};

// Without a clock: tokens come from first attempts only, so that the extra load
// of any sequence is at most the reserve plus the share of first attempts.
class TokenRetryBudget : public RetryBudget {
 public:
  void OnFirstAttempt(const TeamId& team, Fraction share) override {
    Shard& shard = ShardOf(team);
    std::lock_guard lock(shard.mutex);
    Bucket& bucket = shard.buckets[team];
    bucket.share = std::clamp(share.value, 0.0, 1.0);
    bucket.tokens =
        std::min(bucket.tokens + bucket.share, config::kMaxRetryTokens);
  }

  bool TrySpend(const TeamId& team) override { return Spend(team, 0); }

  bool TrySpendForHedge(const TeamId& team) override {
    return Spend(team, config::kRetryTokenReserve);
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

  // Takes one token if `kept` tokens remain afterwards. A share of zero takes
  // effect at once, whatever was saved before.
  bool Spend(const TeamId& team, double kept) {
    Shard& shard = ShardOf(team);
    std::lock_guard lock(shard.mutex);
    auto it = shard.buckets.find(team);
    if (it == shard.buckets.end() || it->second.share <= 0 ||
        it->second.tokens < kept + 1) {
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
