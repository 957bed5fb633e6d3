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

// Quarantine by crash evidence. docs/decisions/crash-quarantine.md gives the
// rules and their reasons.
class CrashQuarantine : public Quarantine {
 public:
  // `timers` outlives the quarantine; only its clock is used.
  explicit CrashQuarantine(const TimerService* timers);

  Suspicion Check(const TeamId& team, Fingerprint body) const override;
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
    bool alone = false;
  };
  struct Evidence {
    // Latest crash of each server, for a few servers.
    std::vector<Crash> crashes;
    uint32_t crash_count = 0;
    // Servers that answered the body since the latest crash.
    std::set<ServerId> successes;
    // Successes outweigh the crashes so far.
    bool cleared = false;
    bool quarantined = false;
    TimePoint expires;
  };
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<BodyKey, Evidence, BodyKeyHash> bodies;
  };

  Shard& ShardOf(const BodyKey& key) const;
  // Returns true if the crash puts the body into quarantine.
  bool AddCrash(const BodyKey& key, const Crash& crash, Duration expiry);
  static void CountCrash(Evidence& evidence, const Crash& crash);
  static bool IsConclusive(const Evidence& evidence, const Crash& latest);
  // Evidence of `key`, new if there is none in force. Makes room first.
  Evidence& Find(Shard& shard, const BodyKey& key, TimePoint now);
  static void MakeRoom(Shard& shard, TimePoint now);

  const TimerService* const m_timers;
  mutable std::array<Shard, config::kStateShards> m_shards;
  std::mutex m_hook_mutex;
  std::function<void(QuarantineEntry)> m_on_added;
};

// Merges entries of another instance. True if any of them was not known, so
// that it should be passed on at once: a re-send may reach any instance next.
bool MergeEntries(Quarantine* quarantine,
                  const std::vector<QuarantineEntry>& entries);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_QUARANTINE_H_
