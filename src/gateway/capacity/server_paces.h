#ifndef SRC_GATEWAY_CAPACITY_SERVER_PACES_H_
#define SRC_GATEWAY_CAPACITY_SERVER_PACES_H_

// PRIVATE HEADER. Pattern: servers of one service that differ in speed, and
// some that slow down long before they are full, seen by instances that send
// each of them a request every few seconds.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/fleet_tree.h"
#include "gateway/server_observations.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Latencies of replies of one server, relative to the median of their routes.
struct PaceSample {
  uint32_t replies = 0;
  double sum = 0;
};

using PaceDigest = std::unordered_map<ServerKey, PaceSample>;

void MergePaces(PaceDigest& into, const PaceDigest& from);

// Compact encoding, for messages between instances. DecodePaces throws
// std::runtime_error if the text is malformed.
std::string EncodePaces(const PaceDigest& digest);
PaceDigest DecodePaces(std::string_view text);

// What each server takes well: how long its replies take under the load that it
// has now, as seen by all instances together. An estimate follows bad news at
// once and good news in steps, so that a server that has become fast again is
// not overrun by all instances at the same moment.
class ServerPaces {
 public:
  using Tree = FleetTree<PaceDigest, MergePaces>;

  // A reply took `relative_latency` times the median of its route.
  void Add(ServerKey server, double relative_latency, TimePoint now);
  Tree& tree() { return m_tree; }
  PaceDigest Subtree(TimePoint now);
  // Of the fleet as known here. `root`: this instance follows none.
  PaceDigest Total(bool root, TimePoint now);
  // Takes over the view of the fleet.
  void SetFleet(const PaceDigest& total, TimePoint now);

  // `own`: what this instance alone has seen. The result leans to the view of
  // the fleet as far as that is founded on replies and fresh.
  double PaceOf(ServerKey server, double own, TimePoint now) const;
  size_t known() const { return m_estimates.size(); }

 private:
  static constexpr int64_t kSlices = 4;
  using Slices = std::array<PaceSample, kSlices>;
  struct Estimate {
    double pace = 1;
    // Number of replies that it rests on.
    uint32_t replies = 0;
    TimePoint at;
  };

  void Advance(TimePoint now);

  int64_t m_slice = 0;
  std::unordered_map<ServerKey, Slices> m_local;
  Tree m_tree;
  std::unordered_map<ServerKey, Estimate> m_estimates;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CAPACITY_SERVER_PACES_H_
