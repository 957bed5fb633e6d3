#ifndef SRC_GATEWAY_SERVICE_RETRY_BUDGET_H_
#define SRC_GATEWAY_SERVICE_RETRY_BUDGET_H_

// PRIVATE HEADER.

#include <array>
#include <cstdint>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

// Limits the repeats that this instance sends to one service. Hedges and
// retries both count as repeats, including retries of refused requests. In any
// window, all instances together may send slack + ratio x first attempts. Each
// instance uses an equal part of the slack, plus the ratio of its own first
// attempts in a sliding window.
class ServiceRetryBudget {
 public:
  void Configure(const ServiceBounds& bounds, uint32_t instances);
  void OnFirstAttempt(TimePoint now);
  // Spends one repeat if at least `reserve` remains afterwards; returns whether
  // it did.
  bool TrySpend(TimePoint now, double reserve = 0);
  // Gives back the last repeat spent, if it reached no server.
  void Refund();
  // Repeats that may still be sent in the current window.
  double Available(TimePoint now);
  // This instance's part of the slack.
  double slack() const { return m_slack; }

 private:
  // The window is divided into slices. One more slice is stored, since the
  // oldest one lies only partly within the window.
  static constexpr int64_t kSlices = 10;
  static constexpr size_t kStoredSlices = kSlices + 1;
  struct Slice {
    uint32_t first_attempts = 0;
    uint32_t repeats = 0;
  };

  // Removes slices that have left the window.
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
