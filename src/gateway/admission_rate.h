#ifndef SRC_GATEWAY_ADMISSION_RATE_H_
#define SRC_GATEWAY_ADMISSION_RATE_H_

// PRIVATE HEADER.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Adaptive rate limit for the requests of this instance to one service. The
// limit is lowered when too many requests find no server with capacity and
// raised again afterwards.
//
// Protects scatter requests under overload: if each shard rejects a different
// subset of the requests, hardly any query gets all its parts and the work of
// the shards is wasted. Requests above the limit are therefore rejected before
// anything is sent. All shards of a query share one random draw, so that they
// reject the same queries.
//
// A rate rather than a concurrency limit: with many instances, the share of one
// instance in the slots of a service is less than one request.
class AdmissionRate {
 public:
  // Share of the requests of one team to admit, given that of all.
  using TeamShare = std::function<double(double admitted_share)>;

  // Counts one request of `priority` (0 is the most urgent) and returns true if
  // it is admitted. `draw` is a random number, uniform in [0, 1). `team_share`
  // may be null.
  bool Admit(uint32_t priority,
             double draw,
             TimePoint now,
             const TeamShare& team_share = nullptr);
  // Reports that no server had capacity for an admitted request.
  void OnRejected(TimePoint now);
  // True while a limit is in force.
  bool limited() const { return m_limit.has_value(); }
  // Limit in requests per second. Requires limited().
  double limit() const { return *m_limit; }
  // Share of the requests of `priority` that is admitted, from 0 to 1.
  double AdmittedShare(uint32_t priority) const;

 private:
  static constexpr size_t kPriorities = 4;
  static constexpr int64_t kSlices = 10;
  using PriorityCounts = std::array<uint32_t, kPriorities>;

  void Advance(TimePoint now);
  void Adapt();
  void ResetCounters();
  double DemandPerSecond() const;

  // Requests by priority in each slice of the sliding window, and their sum.
  int64_t m_slice = 0;
  std::array<PriorityCounts, kSlices> m_slices{};
  PriorityCounts m_demand{};
  // Requests since the counters were last reset.
  uint32_t m_admitted = 0;
  uint32_t m_rejected = 0;
  std::optional<double> m_limit;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ADMISSION_RATE_H_
