#ifndef SRC_GATEWAY_SERVER_HEALTH_H_
#define SRC_GATEWAY_SERVER_HEALTH_H_

// PRIVATE HEADER.

#include <algorithm>
#include <cstdint>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Health of one backend server as observed by this instance. Latencies are kept
// relative to the median of their route, since routes differ in work.
class ServerHealth {
 public:
  // A complete reply arrived after `latency`. `median_latency` is that of the
  // route, or 0 if unknown.
  void OnReply(Duration latency,
               Duration median_latency,
               bool failure,
               TimePoint now);
  // The server refused a request without running it.
  void OnRefusal(TimePoint now);
  // A connection broke or carried an invalid reply.
  void OnBrokenConnection(TimePoint now);
  // A connection could not be opened, or the server stopped replying. It is
  // down until a connection is accepted or a reply arrives. `jitter` is uniform
  // in [0, 1).
  void OnUnreachable(TimePoint now, double jitter);
  // A connection was accepted.
  void OnConnected(TimePoint now);
  void Reset() { *this = ServerHealth(); }

  // Latency relative to the median of the route; 1 before the first reply.
  double relative_latency() const { return m_relative_latency; }
  // Share of recent replies that were failures or refusals. Fades while there
  // are none: a server that is avoided for it would get no request, and so
  // never a reply that shows that it works again.
  double FailureShare(TimePoint now) const;
  // True while the server refuses connections or does not reply. A probe is due
  // after each backoff.
  bool down() const { return m_down; }
  bool ProbeDue(TimePoint now) const { return m_down && now >= m_probe_at; }
  void StartProbe(TimePoint now) { m_probe_at = now + m_backoff; }
  TimePoint last_reply() const { return m_last_reply; }
  // Time of the last reply or accepted connection.
  TimePoint last_contact() const {
    return std::max(m_last_reply, m_last_connected);
  }

  // True if a reply is overdue: there was none for kStallFactor times the
  // median latency, and at least kMinStallThreshold, since `oldest`, the time
  // at which the oldest unanswered sub-request was sent.
  static bool IsStalled(TimePoint oldest,
                        TimePoint last_reply,
                        Duration median_latency,
                        TimePoint now);

 private:
  void ObserveFailure(bool failure, TimePoint now);

  double m_relative_latency = 1;
  // At m_failure_share_at.
  double m_failure_share = 0;
  TimePoint m_failure_share_at;
  bool m_down = false;
  Duration m_backoff = kProbeBackoff;
  TimePoint m_probe_at;
  TimePoint m_last_reply;
  TimePoint m_last_connected;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_HEALTH_H_
