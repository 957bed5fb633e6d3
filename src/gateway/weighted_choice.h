#ifndef SRC_GATEWAY_WEIGHTED_CHOICE_H_
#define SRC_GATEWAY_WEIGHTED_CHOICE_H_

// PRIVATE HEADER.

#include <cstddef>
#include <utility>
#include <vector>

namespace wasabihook::gateway {

// Smooth weighted round robin. In any run of choices, each index is chosen in
// proportion to its weight, to within one choice. The weights are fixed, so
// that an index is always one of the list that the choice was made for.
class WeightedChoice {
 public:
  explicit WeightedChoice(std::vector<double> weights)
      : m_weights(std::move(weights)), m_credit(m_weights.size(), 0) {}

  const std::vector<double>& weights() const { return m_weights; }

  // Returns the index of the next choice; 0 if there are no weights.
  size_t Next() {
    double total = 0;
    size_t best = 0;
    for (size_t i = 0; i < m_weights.size(); ++i) {
      m_credit[i] += m_weights[i];
      total += m_weights[i];
      if (m_credit[i] > m_credit[best])
        best = i;
    }
    if (!m_weights.empty())
      m_credit[best] -= total;
    return best;
  }

 private:
  const std::vector<double> m_weights;
  std::vector<double> m_credit;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_WEIGHTED_CHOICE_H_
