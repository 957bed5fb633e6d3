#include "decision/routing/drain_mark.h"

#include <algorithm>

#include "wasabihook/config.h"

namespace wasabihook {

void DrainMark::Set(DrainSource source, TimePoint now) {
  if (source != DrainSource::kPeer) {
    m_source = source;
    Extend(now + Duration(config::kDrainMarkDuration));
    return;
  }
  if (!m_last_peer_report || now - *m_last_peer_report >
                                 2 * Duration(config::kPeerDrainMarkDuration)) {
    m_first_peer_report = now;
  }
  m_last_peer_report = now;
  if (now - m_first_peer_report > config::kDrainMarkDuration) {
    return;
  }
  // A peer's mark neither shortens nor replaces a mark from a direct source.
  if (!IsDraining(now)) {
    m_source = source;
  }
  Extend(now + Duration(config::kPeerDrainMarkDuration));
}

void DrainMark::Extend(TimePoint until) {
  m_until = m_until ? std::max(*m_until, until) : until;
  m_was_draining = true;
}

void DrainMark::SetHint(bool draining, TimePoint now) {
  if (draining) {
    m_hint_until = now + Duration(config::kDrainHintDuration);
  } else {
    m_hint_until.reset();
  }
}

void DrainMark::Clear() {
  m_until.reset();
  m_hint_until.reset();
}

bool DrainMark::ConsumeDrainEnd(TimePoint now) {
  if (!m_was_draining || IsDraining(now)) {
    return false;
  }
  m_was_draining = false;
  m_until.reset();
  return true;
}

std::optional<DrainSource> DrainMark::Source(TimePoint now) const {
  if (!IsDraining(now)) {
    return std::nullopt;
  }
  return m_source;
}

}  // namespace wasabihook
