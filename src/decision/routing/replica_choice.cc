#include "decision/routing/replica_choice.h"

#include <algorithm>
#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Preference tiers of servers, best first.
enum class Tier : uint8_t {
  kProbe,
  kUsable,
  kDeprioritized,
  kLastResort,
  kNone
};

// Local generator seeded by a single draw from the random source, which is
// shared and takes a lock.
class LocalRandom {
 public:
  explicit LocalRandom(const RandomSource& random) : m_random(random) {}

  // Uniform in [0, bound).
  size_t Below(size_t bound) { return Next() % bound; }
  // Uniform in [0, 1).
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

 private:
  // SplitMix64.
  uint64_t Next() {
    if (!m_seeded) {
      m_state = m_random();
      m_seeded = true;
    }
    m_state += 0x9e3779b97f4a7c15;
    uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }

  const RandomSource& m_random;
  bool m_seeded = false;
  uint64_t m_state = 0;
};

Tier TierOf(const ReplicaView& view,
            const RoutingPolicy& policy,
            bool may_probe,
            LocalRandom* random) {
  if (view.excluded || view.draining) {
    return Tier::kNone;
  }
  if (policy.outlier_ejection && view.ejected) {
    return view.probe_due && may_probe ? Tier::kProbe : Tier::kNone;
  }
  if (view.at_limit(policy)) {
    return Tier::kNone;
  }
  if (view.drain_hinted) {
    return Tier::kLastResort;
  }
  if (view.backing_off ||
      (view.slow_start_share < 1 && random->Unit() >= view.slow_start_share)) {
    return Tier::kDeprioritized;
  }
  return Tier::kUsable;
}

double Score(const ReplicaView& view,
             const ReplicaView& other,
             ReplicaChoice choice) {
  if (choice == ReplicaChoice::kLeastOutstanding) {
    return view.outstanding;
  }
  // A server without replies is assumed to be as fast as the other one.
  Duration latency = view.latency;
  if (latency == Duration(0)) {
    latency = std::max(other.latency, Duration(1));
  }
  // Penalizes failures, because a server that fails quickly has few outstanding
  // sub-requests and would otherwise attract more work.
  return (view.outstanding + 1 + view.hinted_load) *
         (1 + view.consecutive_failures) * static_cast<double>(latency.count());
}

// Power of two choices: rotates [first, last) to a random start, then swaps the
// better of the first and another random element to the front. With
// ReplicaChoice::kRandom the rotation alone decides.
void MoveBestToFront(const std::vector<ReplicaView>& views,
                     ReplicaChoice choice,
                     std::vector<size_t>::iterator first,
                     std::vector<size_t>::iterator last,
                     LocalRandom* random) {
  const auto count = static_cast<size_t>(last - first);
  if (count < 2) {
    return;
  }
  std::rotate(first, first + static_cast<ptrdiff_t>(random->Below(count)),
              last);
  if (choice == ReplicaChoice::kRandom) {
    return;
  }
  const auto contender =
      first + 1 + static_cast<ptrdiff_t>(random->Below(count - 1));
  const ReplicaView& a = views[*first];
  const ReplicaView& b = views[*contender];
  if (Score(b, a, choice) < Score(a, b, choice)) {
    std::iter_swap(first, contender);
  }
}

Duration MedianLatencyOfPeers(const std::vector<ReplicaView>& views,
                              size_t self) {
  std::vector<Duration> peers;
  for (size_t i = 0; i < views.size(); ++i) {
    if (i != self && views[i].replies >= config::kOutlierMinReplies) {
      peers.push_back(views[i].latency);
    }
  }
  if (peers.empty()) {
    return Duration::max();
  }
  const auto middle =
      peers.begin() + static_cast<ptrdiff_t>((peers.size() - 1) / 2);
  std::nth_element(peers.begin(), middle, peers.end());
  return *middle;
}

bool IsLatencyOutlier(const std::vector<ReplicaView>& views, size_t self) {
  const ReplicaView& view = views[self];
  if (view.replies < config::kOutlierMinReplies ||
      view.latency < config::kOutlierLatencyFloor) {
    return false;
  }
  const Duration peers = MedianLatencyOfPeers(views, self);
  return peers != Duration::max() &&
         static_cast<double>(view.latency.count()) >
             static_cast<double>(peers.count()) * config::kOutlierLatencyFactor;
}

}  // namespace

std::vector<size_t> RankReplicas(const std::vector<ReplicaView>& views,
                                 const RoutingPolicy& policy,
                                 bool may_probe,
                                 const RandomSource& random) {
  LocalRandom local(random);
  std::vector<std::pair<Tier, size_t>> tiers;
  tiers.reserve(views.size());
  for (size_t i = 0; i < views.size(); ++i) {
    const Tier tier = TierOf(views[i], policy, may_probe, &local);
    if (tier != Tier::kNone) {
      tiers.emplace_back(tier, i);
    }
  }
  std::sort(tiers.begin(), tiers.end());
  std::vector<size_t> ranked;
  ranked.reserve(tiers.size());
  for (const auto& [tier, position] : tiers) {
    ranked.push_back(position);
  }
  for (size_t begin = 0; begin < tiers.size();) {
    size_t end = begin;
    while (end < tiers.size() && tiers[end].first == tiers[begin].first) {
      ++end;
    }
    MoveBestToFront(views, policy.choice,
                    ranked.begin() + static_cast<ptrdiff_t>(begin),
                    ranked.begin() + static_cast<ptrdiff_t>(end), &local);
    begin = end;
  }
  return ranked;
}

size_t MaxEjected(size_t servers) {
  return static_cast<size_t>(static_cast<double>(servers) *
                             config::kMaxEjectedFraction.value);
}

std::vector<size_t> FindOutliers(const std::vector<ReplicaView>& views) {
  std::vector<size_t> outliers;
  for (size_t i = 0; i < views.size(); ++i) {
    if (views[i].should_eject) {
      outliers.push_back(i);
    }
  }
  for (size_t i = 0; i < views.size(); ++i) {
    if (!views[i].should_eject && !views[i].ejected &&
        IsLatencyOutlier(views, i)) {
      outliers.push_back(i);
    }
  }
  return outliers;
}

}  // namespace wasabihook
