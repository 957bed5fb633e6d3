#ifndef SRC_GATEWAY_HEDGE_DELAY_H_
#define SRC_GATEWAY_HEDGE_DELAY_H_

// PRIVATE HEADER.

#include <algorithm>

#include "decision/routing/latency_histogram.h"
#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// Derives the hedge delay of a route from the recent latencies of its parts.
class HedgeDelay {
 public:
  void Observe(Duration latency) {
    m_latencies.Add(latency);
    if (m_latencies.count() % kRefreshPeriod == 0)
      Refresh();
  }

  // Median latency of a part; 0 until enough replies were observed.
  Duration median_latency() const { return m_median_latency; }

  // Delay after which a part is hedged, for a route with the given latency
  // objective.
  Duration DelayFor(Duration objective) const {
    const auto max_delay = Duration(static_cast<int64_t>(
        static_cast<double>(objective.count()) * kMaxHedgeDelayShare));
    if (m_hedge_latency <= Duration(0))
      return std::max(max_delay, kMinHedgeDelay);
    const auto scaled = Duration(static_cast<int64_t>(
        static_cast<double>(m_hedge_latency.count()) * kHedgeFactor));
    return std::max(kMinHedgeDelay, std::min(scaled, max_delay));
  }

 private:
  // Replies between two updates of the quantiles.
  static constexpr uint64_t kRefreshPeriod = 20;

  void Refresh() {
    if (m_latencies.count() < kHedgeMinReplies)
      return;
    m_median_latency = m_latencies.Quantile(0.5);
    m_hedge_latency = m_latencies.Quantile(kHedgeQuantile);
  }

  LatencyHistogram m_latencies{kHedgeWindow};
  Duration m_median_latency{0};
  Duration m_hedge_latency{0};
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_HEDGE_DELAY_H_
