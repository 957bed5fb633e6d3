#ifndef SRC_GATEWAY_REPEAT_BUDGET_H_
#define SRC_GATEWAY_REPEAT_BUDGET_H_

// PRIVATE HEADER.

#include <algorithm>
#include <cstdint>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// Repeats that this instance may send to one service: hedges, retries, and
// sends after a refusal. Every first send earns `ratio` of a token; the bucket
// holds this instance's part of the slack. Over any span of time the repeats of
// all instances are then at most slack + ratio x first sends.
class RepeatBudget {
 public:
  void Configure(const ServiceBounds& bounds, uint32_t instances) {
    m_ratio = bounds.retry_ratio * kRepeatShare;
    m_cap = std::max(1.0, bounds.retry_slack * kRepeatShare /
                              std::max<uint32_t>(instances, 1));
    m_tokens = m_configured ? std::min(m_tokens, m_cap) : m_cap;
    m_configured = true;
  }
  void OnFirstSend() { m_tokens = std::min(m_cap, m_tokens + m_ratio); }
  // Takes one token if `kept` remain afterwards.
  bool TrySpend(double kept = 0) {
    if (m_tokens < 1 + kept)
      return false;
    m_tokens -= 1;
    return true;
  }
  // Returns the token of a repeat that reached no server.
  void Refund() { m_tokens = std::min(m_cap, m_tokens + 1); }
  double tokens() const { return m_tokens; }
  double cap() const { return m_cap; }

 private:
  bool m_configured = false;
  double m_ratio = 0;
  double m_cap = 1;
  double m_tokens = 1;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REPEAT_BUDGET_H_
