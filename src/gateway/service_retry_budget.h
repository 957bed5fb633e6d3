#ifndef SRC_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define SRC_GATEWAY_SERVICE_RETRY_BUDGET_H_

// PRIVATE HEADER.

#include <array>
#include <cstdint>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// Repeats that this instance may send to one service: hedges, retries, and
// sends after a refusal. In any window all instances together may send
// slack + ratio x first sends; each takes an equal part of the slack and what
// its own first sends earn, counted over a sliding window.
class ServiceRetryBudget {
 public:
  void Configure(const ServiceBounds& bounds, uint32_t instances);
  void OnFirstAttempt(TimePoint now);
  // Takes one repeat if `kept` would remain afterwards.
  bool TrySpend(TimePoint now, double reserve = 0);
  // Returns the repeat taken last, which reached no server.
  void Refund();
  // Repeats that are left in the present window.
  double Available(TimePoint now);
  // Part of the slack that is this instance's.
  double slack() const { return m_slack; }

 private:
  // The window is counted in slices. One more slice than the window has is
  // kept, since the oldest lies only partly within it.
  static constexpr int64_t kSlices = 10;
  static constexpr size_t kStoredSlices = kSlices + 1;
  struct Slice {
    uint32_t first_attempts = 0;
    uint32_t repeats = 0;
  };

  // Drops slices that have left the window.
  void Advance(TimePoint now);
  Slice& Current() {
    return m_slices[static_cast<size_t>(m_slice) % kStoredSlices];
  }

  double m_ratio = 0;
  double m_slack = 1;
  Duration m_slice_length = std::chrono::seconds(1);
  int64_t m_slice = 0;
  std::array<Slice, kStoredSlices> m_slices{};
  uint32_t m_first_attempts = 0;
  uint32_t m_repeats = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVICE_RETRY_BUDGET_H_
