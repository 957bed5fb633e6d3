#ifndef SRC_GATEWAY_ADMISSION_RATE_H_
#define SRC_GATEWAY_ADMISSION_RATE_H_

// PRIVATE HEADER.

#include <array>
#include <cstdint>
#include <optional>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Rate at which one service takes requests of this instance, learnt from those
// that no server of it could take. Answers the pattern of a scatter under
// overload: if each shard rejects some requests of its own choice, hardly
// any query gets all its parts, and the shards work for nothing. The requests
// beyond the limit are rejected before anything is sent, by one draw for all
// shards of a query, so that the queries that start are whole.
//
// A rate, not a number of outstanding requests: with many instances the share
// of one in the slots of a service is below one request.
class AdmissionRate {
 public:
  // Counts one request of `rank` (0 is the most urgent) and decides on it.
  // `draw` is uniform in [0, 1).
  bool Admit(uint32_t priority, double draw, TimePoint now);
  // No server had capacity for an admitted request.
  void OnRejected(TimePoint now);
  // True while requests may be refused.
  bool limited() const { return m_limit.has_value(); }
  // Requests per second; only if limited.
  double limit() const { return *m_limit; }
  // Share of the requests of `rank` that is admitted.
  double AdmittedShare(uint32_t priority) const;

 private:
  static constexpr size_t kPriorities = 4;
  static constexpr int64_t kSlices = 10;
  using PriorityCounts = std::array<uint32_t, kPriorities>;

  void Advance(TimePoint now);
  void Adapt();
  void ResetCounters();
  double DemandPerSecond() const;

  // Requests by rank: in each slice of the window, and their sum.
  int64_t m_slice = 0;
  std::array<PriorityCounts, kSlices> m_slices{};
  PriorityCounts m_demand{};
  // Requests of the present round.
  uint32_t m_admitted = 0;
  uint32_t m_rejected = 0;
  std::optional<double> m_limit;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ADMISSION_RATE_H_
