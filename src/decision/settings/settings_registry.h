#ifndef SRC_DECISION_SETTINGS_SETTINGS_REGISTRY_H_
#define SRC_DECISION_SETTINGS_SETTINGS_REGISTRY_H_

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/peer.h"
#include "wasabihook/settings.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

enum class SettingsSource : uint8_t { kStore, kPeer, kFile };

enum class OfferOutcome : uint8_t {
  kApplied,
  kStale,     // Not newer than what is known.
  kRejected,  // Newer, but invalid: kept for peers and status.
};

std::string ToString(SettingsSource source);

struct RejectedRevision {
  Revision revision;
  std::string reason;
  WallTime at;
};

// What this instance knows of one subtree; for status.
struct SubtreeStatus {
  std::string subtree;
  // Greatest revision seen; differs from `in_force` if it was rejected.
  Revision newest;
  Revision in_force;  // 0 if no valid value was seen.
  SettingsSource source = SettingsSource::kStore;
  WallTime applied_at;
  std::optional<RejectedRevision> rejected;
};

// One change of the settings in force; exactly one of the pointers is set.
struct SettingsChange {
  std::string subtree;
  Revision revision;
  TeamSettingsPtr team;
  FleetSettingsPtr fleet;
};

// Settings in force at this instance. Revisions of a subtree only go up,
// whichever way they arrive; an invalid value leaves the last good one in
// force. Thread-safe; state in shards by subtree, each under its own lock.
class SettingsRegistry : public SettingsView {
 public:
  using Subscriber = std::function<void(const SettingsChange&)>;

  // `timers` outlives the registry.
  explicit SettingsRegistry(const TimerService* timers);

  OfferOutcome Offer(const std::string& subtree,
                     Revision revision,
                     const std::string& text,
                     SettingsSource source);

  TeamSettingsPtr Team(const TeamId& team) const override;
  // Settings of the deployment; the defaults until a value is known.
  FleetSettingsPtr Fleet() const;

  // Called without locks for each change of the settings in force. Two changes
  // may be reported by two threads in any order: compare the revisions.
  SubscriptionHandle Subscribe(Subscriber subscriber);
  // A call that is already running may finish after this returns.
  void Unsubscribe(SubscriptionHandle handle);

  std::vector<SubtreeStatus> Status() const;
  // Revisions to compare with peers, in order of subtree. A subtree whose
  // newest value is invalid is listed twice: newest and last good value.
  std::vector<SubtreeRevision> Revisions() const;
  // XXH64 over Revisions().
  uint64_t Hash() const;
  Revision GreatestRevision() const;
  // True if a value of this revision would change what is known.
  bool Wants(const SubtreeRevision& offered) const;
  // Raw texts known of `subtree`, older first; up to two, as in Revisions().
  std::vector<PulledSubtree> Texts(const std::string& subtree) const;

 private:
  struct Value {
    Revision revision;
    std::shared_ptr<const std::string> text;
  };
  struct Subtree {
    Value newest;
    Value last_valid;
    SettingsSource source = SettingsSource::kStore;
    WallTime applied_at;
    std::optional<RejectedRevision> rejected;
    TeamSettingsPtr team;
    FleetSettingsPtr fleet;
  };
  struct Shard {
    mutable std::mutex mutex;
    std::map<std::string, Subtree, std::less<>> subtrees;
  };
  // Outcome of parsing; `error` is set if the text is invalid.
  struct Parsed {
    TeamSettingsPtr team;
    FleetSettingsPtr fleet;
    std::optional<std::string> error;
  };

  static Parsed Parse(const std::string& subtree,
                      Revision revision,
                      const std::string& text);
  static bool IsWanted(const Subtree* known, Revision revision);
  Shard& ShardOf(std::string_view subtree);
  const Shard& ShardOf(std::string_view subtree) const;
  OfferOutcome Apply(Subtree& known,
                     Value value,
                     const Parsed& parsed,
                     SettingsSource source);
  void Notify(const SettingsChange& change);
  // What digests are made of; rebuilt when a subtree has changed.
  struct Summary {
    uint64_t generation = 0;
    std::vector<SubtreeRevision> revisions;
    uint64_t hash = 0;
    Revision greatest;
  };
  std::shared_ptr<const Summary> GetSummary() const;
  std::shared_ptr<const Summary> BuildSummary(uint64_t generation) const;

  const TimerService* const m_timers;
  const FleetSettingsPtr m_default_fleet;
  std::array<Shard, config::kStateShards> m_shards;
  std::atomic<uint64_t> m_generation{1};
  mutable std::mutex m_summary_mutex;
  mutable std::shared_ptr<const Summary> m_summary;
  std::mutex m_subscriber_mutex;
  uint64_t m_next_subscriber = 1;
  std::map<uint64_t, std::shared_ptr<const Subscriber>> m_subscribers;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_REGISTRY_H_
