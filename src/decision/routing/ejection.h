#ifndef SRC_DECISION_ROUTING_EJECTION_H_
#define SRC_DECISION_ROUTING_EJECTION_H_

#include <cstdint>
#include <optional>

#include "wasabihook/backend.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Outlier state of one server: in use, ejected for a growing time, then probed
// with a single sub-request. The caller decides whether the group can spare the
// server. Not thread-safe.
class Ejection {
 public:
  enum class Change : uint8_t { kNone, kRecovered, kEjectedAgain };

  // Learns from a sub-request that was sent at `sent`. `jitter` is uniform in
  // [0, 1) and used if a failed probe ejects the server again.
  Change OnOutcome(SubOutcome outcome,
                   TimePoint sent,
                   TimePoint now,
                   double jitter);
  // True after enough consecutive failures of a server in use.
  bool should_eject() const;
  void Eject(TimePoint now, double jitter);
  bool ejected() const { return m_ejected_until.has_value(); }
  // True if the ejection time is over and no probe is outstanding.
  bool IsProbeDue(TimePoint now) const;
  bool probing() const { return m_probe_sent_at.has_value(); }
  void StartProbe(TimePoint now) { m_probe_sent_at = now; }
  // Time until the probe is due; 0 if not ejected or already due.
  Duration TimeUntilProbe(TimePoint now) const;
  uint32_t consecutive_failures() const { return m_consecutive_failures; }

 private:
  Change OnProbeOutcome(bool failure,
                        bool success,
                        TimePoint now,
                        double jitter);

  uint32_t m_consecutive_failures = 0;
  uint32_t m_consecutive_connect_failures = 0;
  uint32_t m_ejection_count = 0;
  std::optional<TimePoint> m_ejected_until;
  std::optional<TimePoint> m_probe_sent_at;
  TimePoint m_recovered_at;
};

// True if the outcome speaks against the server. Refusals and cancelled work
// do not: the server is there and answers.
bool IsServerFailure(SubOutcome outcome);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_EJECTION_H_
