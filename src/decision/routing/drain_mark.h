#ifndef SRC_DECISION_ROUTING_DRAIN_MARK_H_
#define SRC_DECISION_ROUTING_DRAIN_MARK_H_

#include <optional>

#include "wasabihook/server_table.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Whether one server is draining, and who said so. A mark expires unless its
// source renews it, so that a wrong one cannot keep a server out of use for
// ever. Not thread-safe.
class DrainMark {
 public:
  // Reports of peers count for as long as one mark lasts; after that they are
  // ignored until they stop. Peers that only repeat each other thus fall
  // silent.
  void Set(DrainSource source, TimePoint now);
  // The server reported in an otherwise good reply whether it drains. Such
  // reports may be wrong, so a draining server stays a last resort.
  void SetHint(bool draining, TimePoint now);
  void Clear();

  // True if the server must get no new work.
  bool IsDraining(TimePoint now) const { return m_until && now < *m_until; }
  bool IsHinted(TimePoint now) const {
    return m_hint_until && now < *m_hint_until;
  }
  // True once after a mark has expired or was cleared.
  bool ConsumeDrainEnd(TimePoint now);
  // Source of the mark in force.
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
