#ifndef SRC_GATEWAY_SERVER_HEALTH_H_
#define SRC_GATEWAY_SERVER_HEALTH_H_

// PRIVATE HEADER.

#include <cstdint>
#include <optional>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What this instance has observed of one backend server. Latencies are kept
// relative to what is usual for the route, since routes differ in work.
class ServerHealth {
 public:
  // A whole reply came after `latency`; `usual` is the median of the route, 0
  // if unknown.
  void OnReply(Duration latency,
               Duration median_latency,
               bool failure,
               TimePoint now);
  // The server refused without running the request.
  void OnRefusal(TimePoint now);
  // Another server answered at the address.
  void OnMisdirected(TimePoint now);
  // The registry has a newer entry, so that the server may be there again.
  void OnNewEntry() { m_misdirected_until.reset(); }
  // A connection broke, or carried bytes that are no reply.
  void OnBrokenConnection();
  // A connection could not be opened, or the server went silent: it is down
  // until a connection or a reply shows otherwise.
  void OnUnreachable(TimePoint now, double jitter);
  // A connection was accepted.
  void OnConnected(TimePoint now);
  void Reset() { *this = ServerHealth(); }

  // Latency relative to the usual one, 1 for a server without replies.
  double relative_latency() const { return m_relative_latency; }
  // Share of recent replies that were failures or refusals.
  double failure_share() const { return m_failure_share; }
  // True while the server refuses connections or is silent; one probe is due
  // after each backoff.
  bool down() const { return m_down; }
  // True for a pause after another server answered at the address: a request
  // sent there would count as a repeat at that server's service.
  bool misdirected(TimePoint now) const {
    return m_misdirected_until && now < *m_misdirected_until;
  }
  bool ProbeDue(TimePoint now) const { return m_down && now >= m_probe_at; }
  void StartProbe(TimePoint now) { m_probe_at = now + m_backoff; }
  TimePoint last_reply() const { return m_last_reply; }

  // True if replies are owed for longer than usual. `oldest` is the time at
  // which the oldest unanswered sub-request was sent.
  static bool IsStalled(TimePoint oldest,
                        TimePoint last_reply,
                        Duration median_latency,
                        TimePoint now);

 private:
  double m_relative_latency = 1;
  double m_failure_share = 0;
  bool m_down = false;
  Duration m_backoff = kProbeBackoff;
  TimePoint m_probe_at;
  TimePoint m_last_reply;
  std::optional<TimePoint> m_misdirected_until;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_HEALTH_H_
