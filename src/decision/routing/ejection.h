#ifndef SRC_DECISION_ROUTING_EJECTION_H_
#define SRC_DECISION_ROUTING_EJECTION_H_

#include <cstdint>
#include <optional>

#include "wasabihook/backend.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Outlier ejection state of one server. A server in use is ejected for a time
// that grows exponentially with each ejection and is then probed with a single
// sub-request. The caller checks that the group has enough other servers. Not
// thread-safe.
class Ejection {
 public:
  enum class Change : uint8_t { kNone, kRecovered, kEjectedAgain };

  // Records the outcome of a sub-request that was sent at `sent`. `jitter` is
  // uniform in [0, 1) and varies the ejection time if a failed probe ejects the
  // server again.
  Change OnOutcome(SubOutcome outcome,
                   TimePoint sent,
                   TimePoint now,
                   double jitter);
  // True if the server is in use and has reached the number of consecutive
  // failures for an ejection.
  bool should_eject() const;
  void Eject(TimePoint now, double jitter);
  bool ejected() const { return m_ejected_until.has_value(); }
  // True if the ejection time is over and no probe is outstanding.
  bool IsProbeDue(TimePoint now) const;
  bool probing() const { return m_probe_sent_at.has_value(); }
  void StartProbe(TimePoint now) { m_probe_sent_at = now; }
  // Time until the probe is due; 0 if the server is not ejected or the probe is
  // already due.
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

// True if the outcome counts as a failure of the server. Refusals and cancelled
// sub-requests do not, since they don't indicate a faulty server.
bool IsServerFailure(SubOutcome outcome);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_EJECTION_H_
