#ifndef SRC_GATEWAY_SERVER_OBSERVATIONS_H_
#define SRC_GATEWAY_SERVER_OBSERVATIONS_H_

// PRIVATE HEADER. Pattern: shared outlier detection.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gateway/fleet_tree.h"
#include "gateway/gateway_settings.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Identifies one start of a server in observations: a hash of its id and of its
// start time.
using ServerKey = StrongId<struct ServerKeyTag, uint32_t>;
ServerKey MakeServerKey(const ServerId& id, int64_t started_at_ms);

// Collects what this instance sees of servers, and knows what the fleet sees.
class ServerObserver {
 public:
  virtual ~ServerObserver() = default;
  // Records the end of a sub-request, or that its reply is overdue. `bad`: it
  // was slow, lost or failed.
  virtual void Observe(ServerKey server, bool bad) = 0;
  // True if the observations of several instances agree that the server is slow
  // or fails.
  virtual bool IsOutlier(ServerKey server) const = 0;
};

// What some instances saw of one server within kObservationWindow.
struct ServerObservation {
  // Sub-requests that ended or were overdue, and how many of them were slow,
  // overdue, lost or failed. Saturated.
  uint16_t total = 0;
  uint16_t bad = 0;
  // Number of instances that contributed to `bad`. Saturated.
  uint8_t voters = 0;

  void Add(const ServerObservation& other);
};

using ObservationDigest = std::unordered_map<ServerKey, ServerObservation>;

void MergeObservations(ObservationDigest& into, const ObservationDigest& from);
// True if the observations of enough instances agree that the server is slow or
// fails. A single instance, which may be slow or cut off itself, does not
// suffice.
bool IsOutlier(const ServerObservation& observation);
// The outliers of `digest`, which is all that an instance needs to know.
ObservationDigest OutliersOf(const ObservationDigest& digest);

// Compact binary encoding. DecodeObservations throws std::runtime_error if the
// text is malformed.
std::string EncodeObservations(const ObservationDigest& digest);
ObservationDigest DecodeObservations(std::string_view text);

// Observations of this instance in a sliding window.
class LocalObservations {
 public:
  void Add(ServerKey server, bool bad, TimePoint now);
  ObservationDigest Digest(TimePoint now);

 private:
  static constexpr int64_t kSlices = 4;
  struct Counts {
    std::array<uint8_t, kSlices> total{};
    std::array<uint8_t, kSlices> bad{};
  };

  void Advance(TimePoint now);

  int64_t m_slice = 0;
  std::unordered_map<ServerKey, Counts> m_servers;
};

// Observations of the fleet. Without the exchange each instance decides on its
// own observations.
class FleetObservations {
 public:
  using Tree = FleetTree<ObservationDigest, MergeObservations>;

  LocalObservations& local() { return m_local; }
  Tree& tree() { return m_tree; }
  // Digest of this instance and of the instances that follow it.
  ObservationDigest Subtree(TimePoint now);
  // Outliers of the fleet as known here. `root`: this instance follows none.
  ObservationDigest Outliers(bool root, TimePoint now);

 private:
  LocalObservations m_local;
  Tree m_tree;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_OBSERVATIONS_H_
