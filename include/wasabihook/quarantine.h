#ifndef WASABIHOOK_QUARANTINE_H_
#define WASABIHOOK_QUARANTINE_H_

#include <functional>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/timer_service.h"
#include "wasabihook/units.h"

namespace wasabihook {

// A request body that is not sent to backend servers because it crashes them.
struct QuarantineEntry {
  TeamId team;
  Fingerprint fingerprint;
  // Time left when the entry was sent. Relative, so that the clocks
  // of instances need not agree.
  Duration expires_in{0};
};

enum class QuarantineStatus : uint8_t {
  kNone,
  kSuspect,      // In flight during a crash: neither hedged nor retried.
  kQuarantined,  // Crashes of distinct servers, or repeated ones: refused.
};

// Tracks which request bodies crash backend servers. The evidence expires.
// Thread-safe.
class Quarantine {
 public:
  virtual ~Quarantine() = default;

  virtual QuarantineStatus Check(const TeamId& team,
                                 Fingerprint body) const = 0;
  // `server` crashed or its connection was lost while it processed `bodies`
  // (all that this instance had in flight there).
  virtual void ReportCrash(const ServerId& server,
                           const std::vector<QuarantineEntry>& bodies) = 0;
  // `server` answered a request with this body, which is evidence that the body
  // does not cause crashes.
  virtual void ReportSuccess(const TeamId& team,
                             Fingerprint body,
                             const ServerId& server) = 0;
  // Adds an entry received from another instance.
  virtual void Merge(const QuarantineEntry& entry) = 0;
  virtual std::vector<QuarantineEntry> Entries() const = 0;
  // `hook` is called without locks held when a crash reported to this instance
  // quarantines a body.
  virtual void SetOnAdded(std::function<void(QuarantineEntry)> hook) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_QUARANTINE_H_
