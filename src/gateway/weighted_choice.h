#ifndef SRC_GATEWAY_WEIGHTED_CHOICE_H_
#define SRC_GATEWAY_WEIGHTED_CHOICE_H_

// PRIVATE HEADER.

#include <cstddef>
#include <vector>

namespace wasabihook::gateway {

// Smooth weighted round robin. In any run of choices, each index is chosen in
// proportion to its weight, to within one choice.
class WeightedChoice {
 public:
  // Resets the rotation only if the weights differ from the current ones.
  void SetWeights(const std::vector<double>& weights) {
    if (weights == m_weights)
      return;
    m_weights = weights;
    m_credit.assign(weights.size(), 0);
  }

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
  std::vector<double> m_weights;
  std::vector<double> m_credit;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_WEIGHTED_CHOICE_H_
