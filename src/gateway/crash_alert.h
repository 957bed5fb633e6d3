#ifndef SRC_GATEWAY_CRASH_ALERT_H_
#define SRC_GATEWAY_CRASH_ALERT_H_

// PRIVATE HEADER. Pattern: one request that ends the servers of many shards.

#include <optional>
#include <vector>

#include "gateway/request_quarantine.h"
#include "gateway/server_observations.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Servers of several services end at the same moment: a request that is sent to
// all shards may be the cause, and may come again at any instance. While the
// alert is active, queries that have not proved harmless are sent to one server
// first. Each instance sees the moment by its own connections, so that the
// alert is faster than a caller's next attempt.
class CrashAlert {
 public:
  // A connection to a server of `service` ended without reason. Returns true if
  // this raises the alert.
  bool OnServerLost(ServerKey server, ServiceKey service, TimePoint now);
  // The server has accepted a connection since: it has not ended, or is back.
  void OnServerAlive(ServerKey server);
  bool IsActive(TimePoint now) const;
  // Time of the last loss that raised the alert; empty if it is not active.
  std::optional<TimePoint> RaisedAt(TimePoint now) const {
    return IsActive(now) ? m_raised_at : std::nullopt;
  }
  // Services with lost servers that are not back.
  size_t lost_services(TimePoint now) const;

 private:
  struct Loss {
    ServerKey server;
    ServiceKey service;
    TimePoint at;
  };
  size_t CountServices(TimePoint since) const;

  std::vector<Loss> m_losses;
  std::optional<TimePoint> m_raised_at;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CRASH_ALERT_H_
