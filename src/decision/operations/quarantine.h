#ifndef SRC_DECISION_OPERATIONS_QUARANTINE_H_
#define SRC_DECISION_OPERATIONS_QUARANTINE_H_

#include <array>
#include <functional>
#include <mutex>
#include <set>
#include <unordered_map>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Quarantine based on crash evidence. The rules are explained in
// docs/decisions/crash-quarantine.md.
class CrashQuarantine : public Quarantine {
 public:
  // `timers` outlives the quarantine; only its clock is used.
  explicit CrashQuarantine(const TimerService* timers);

  QuarantineStatus Check(const TeamId& team, Fingerprint body) const override;
  void ReportCrash(const ServerId& server,
                   const std::vector<QuarantineEntry>& bodies) override;
  void ReportSuccess(const TeamId& team,
                     Fingerprint body,
                     const ServerId& server) override;
  void Merge(const QuarantineEntry& entry) override;
  std::vector<QuarantineEntry> Entries() const override;
  void SetOnAdded(std::function<void(QuarantineEntry)> hook) override;

 private:
  struct BodyKey {
    TeamId team;
    Fingerprint fingerprint;
    friend auto operator<=>(const BodyKey&, const BodyKey&) = default;
  };
  struct BodyKeyHash {
    size_t operator()(const BodyKey& key) const noexcept;
  };
  struct Crash {
    ServerId server;
    TimePoint at;
    // The body was the only one in flight on the server.
    bool only_body_in_flight = false;
  };
  struct Evidence {
    // Latest crash of each server, for at most kMaxCrashesKept servers.
    std::vector<Crash> crashes;
    uint32_t crash_count = 0;
    // Servers that answered a request with the body since the latest crash.
    std::set<ServerId> successes;
    // Enough distinct servers answered to outweigh the crashes so far.
    bool cleared = false;
    bool quarantined = false;
    TimePoint expires;
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<BodyKey, Evidence, BodyKeyHash> bodies;
  };

  Shard& ShardOf(const BodyKey& key) const;
  // Returns true if the body becomes quarantined by this crash.
  bool AddCrash(const BodyKey& key, const Crash& crash, Duration expiry);
  static void CountCrash(Evidence& evidence, const Crash& crash);
  static bool IsConclusive(const Evidence& evidence, const Crash& latest);
  // Returns the unexpired evidence of `key`, or adds an empty one, for which
  // others may be evicted.
  Evidence& FindOrAddEvidence(Shard& shard, const BodyKey& key, TimePoint now);
  static void EvictIfFull(Shard& shard, TimePoint now);

  const TimerService* const m_timers;
  mutable std::array<Shard, config::kStateShards> m_shards;
  std::mutex m_hook_mutex;
  std::function<void(QuarantineEntry)> m_on_added;
};

// Merges entries of another instance. Returns true if any of them is new. It
// should then be forwarded immediately, because a re-send may reach any
// instance.
bool MergeEntries(Quarantine* quarantine,
                  const std::vector<QuarantineEntry>& entries);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_QUARANTINE_H_
