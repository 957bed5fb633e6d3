#ifndef SRC_GATEWAY_SERVER_AVAILABILITY_H_
#define SRC_GATEWAY_SERVER_AVAILABILITY_H_

// PRIVATE HEADER. Pattern: a server that should get no requests for a while, as
// the registry, its own answers or its connections show at different times.

#include <cstdint>
#include <optional>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

enum class Availability : uint8_t {
  kSound,
  // The server ends soon. It still answers for some time.
  kLeaving,
  // The server wants no requests of this instance for some time.
  kPaused,
  // Another server answered at the address.
  kMisdirected,
  // Connections fail or fell silent.
  kDown,
};

const char* ToString(Availability availability);

// What is known of the availability of one start of a server. Decides for first
// attempts, retries, hedges, warm-ups and probes alike.
class ServerAvailability {
 public:
  // The registry says that the server leaves, or has removed it.
  void OnLeaving(TimePoint now);
  // The server said at `since` that it leaves, here or to another instance.
  void OnSaidLeaving(TimePoint since);
  bool said_leaving() const { return m_said_leaving_since.has_value(); }
  // The server wants no requests until then. Of several pauses the longest
  // counts.
  void OnPause(TimePoint until);
  // Another start of the server is at its place.
  void OnRestarted();
  // The registry lists the server as ready.
  void OnListedReady() { m_leaving_since.reset(); }
  // Another server answered at the address.
  void OnMisdirected(TimePoint now);
  // The registry has a newer entry; the server may be back at its address.
  void OnNewEntry() { m_misdirected_until.reset(); }

  // `down`: connections fail or fell silent.
  Availability At(TimePoint now, bool down) const;
  bool leaving() const { return leaving_since().has_value(); }
  // True for kMisdirectedPause after another server answered at the address. A
  // request sent there would count as a repeat at the service of that server.
  bool IsMisdirected(TimePoint now) const {
    return m_misdirected_until && now < *m_misdirected_until;
  }
  bool IsPaused(TimePoint now) const {
    return m_paused_until && now < *m_paused_until;
  }
  // End of the present or last pause.
  std::optional<TimePoint> paused_until() const { return m_paused_until; }
  // True if a request may be sent at all. `others`: the service has servers
  // that don't leave. Without any, a leaving server is used for a short time.
  bool IsUsable(TimePoint now, bool others) const;

 private:
  std::optional<TimePoint> leaving_since() const {
    return m_said_leaving_since ? m_said_leaving_since : m_leaving_since;
  }

  std::optional<TimePoint> m_leaving_since;
  // Holds whatever the registry says.
  std::optional<TimePoint> m_said_leaving_since;
  std::optional<TimePoint> m_paused_until;
  std::optional<TimePoint> m_misdirected_until;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_AVAILABILITY_H_
