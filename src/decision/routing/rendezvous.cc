#include "decision/routing/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace wasabihook {

std::vector<size_t> RendezvousTopK(std::string_view key,
                                   std::span<const std::string> candidates,
                                   size_t k) {
  struct Scored {
    uint64_t score;
    size_t index;
  };
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const std::string& name = candidates[i];
    scored.push_back({XXH64(name.data(), name.size(), seed), i});
  }
  const size_t winners = std::min(k, scored.size());
  // Equal scores are ordered by name, so that the result doesn't depend on the
  // order of the candidates.
  std::partial_sort(
      scored.begin(), scored.begin() + static_cast<ptrdiff_t>(winners),
      scored.end(), [&](const Scored& a, const Scored& b) {
        return a.score != b.score ? a.score > b.score
                                  : candidates[a.index] < candidates[b.index];
      });
  std::vector<size_t> result;
  result.reserve(winners);
  for (size_t i = 0; i < winners; ++i) {
    result.push_back(scored[i].index);
  }
  return result;
}

double RendezvousWeight(std::string_view key, std::string_view candidate) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const uint64_t seed = XXH64(key.data(), key.size(), 0);
  const uint64_t score = XXH64(candidate.data(), candidate.size(), seed);
  return static_cast<double>(score >> 11) * kScale;
}

}  // namespace wasabihook
