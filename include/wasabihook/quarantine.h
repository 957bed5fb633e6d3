#ifndef WASABIHOOK_QUARANTINE_H_
#define WASABIHOOK_QUARANTINE_H_

#include <functional>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/timer_service.h"
#include "wasabihook/units.h"

namespace wasabihook {

// A request body that is kept from backend servers because it crashes them.
struct QuarantineEntry {
  TeamId team;
  Fingerprint fingerprint;
  // Time left when the entry was sent; clocks of instances are not compared.
  Duration expires_in{0};
};

enum class Suspicion : uint8_t {
  kNone,
  kSuspect,      // Seen with one crash: no hedge and no retry.
  kQuarantined,  // Seen with crashes of distinct servers: refuse.
};

// Evidence that request bodies crash servers, with expiry. Thread-safe.
class Quarantine {
 public:
  virtual ~Quarantine() = default;

  virtual Suspicion Check(const TeamId& team, Fingerprint body) const = 0;
  // `server` lost its connection or crashed while it ran `bodies` (everything
  // that this instance had in flight there).
  virtual void ReportCrash(const ServerId& server,
                           const std::vector<QuarantineEntry>& bodies) = 0;
  // `server` answered a request with this body: evidence of innocence.
  virtual void ReportSuccess(const TeamId& team,
                             Fingerprint body,
                             const ServerId& server) = 0;
  // Entry received from another instance.
  virtual void Merge(const QuarantineEntry& entry) = 0;
  virtual std::vector<QuarantineEntry> Entries() const = 0;
  // Called without locks when an entry is added by local evidence.
  virtual void SetOnAdded(std::function<void(QuarantineEntry)> hook) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_QUARANTINE_H_
