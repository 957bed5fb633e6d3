#ifndef SRC_DECISION_ROUTING_DRAIN_MARK_H_
#define SRC_DECISION_ROUTING_DRAIN_MARK_H_

#include <optional>

#include "wasabihook/server_table.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Drain state of one server and the source that reported it. A mark expires
// unless its source renews it, so that a wrong report cannot take a server out
// of use permanently. Not thread-safe.
class DrainMark {
 public:
  // Marks the server as draining. Peer reports are accepted for
  // kDrainMarkDuration and then ignored until they have ceased for twice
  // kPeerDrainMarkDuration, which ends a loop of peers that only repeat each
  // other's reports.
  void Set(DrainSource source, TimePoint now);
  // Records the drain flag of a successful reply. The flag may be wrong, so a
  // server that sets it is still used if there is no other.
  void SetHint(bool draining, TimePoint now);
  void Clear();

  // True if the server must not be given new work.
  bool IsDraining(TimePoint now) const { return m_until && now < *m_until; }
  bool IsHinted(TimePoint now) const {
    return m_hint_until && now < *m_hint_until;
  }
  // Returns true once after a mark has expired or was cleared.
  bool ConsumeDrainEnd(TimePoint now);
  // Source of the current mark; empty if the server is not draining.
  std::optional<DrainSource> Source(TimePoint now) const;

 private:
  void Extend(TimePoint until);

  std::optional<TimePoint> m_until;
  std::optional<TimePoint> m_hint_until;
  TimePoint m_first_peer_report;
  std::optional<TimePoint> m_last_peer_report;
  DrainSource m_source = DrainSource::kServer;
  bool m_was_draining = false;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_DRAIN_MARK_H_
