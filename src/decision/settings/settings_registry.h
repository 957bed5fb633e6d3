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
  kStale,     // Not newer than the known value.
  kRejected,  // Newer but invalid; kept for peers and for status.
};

std::string ToString(SettingsSource source);

struct RejectedRevision {
  Revision revision;
  std::string reason;
  WallTime at;
};

// Revisions of one subtree at this instance, as reported in its status.
struct SubtreeStatus {
  std::string subtree;
  // Greatest revision received; differs from `in_force` if it was rejected.
  Revision newest;
  Revision in_force;  // 0 if no valid value was received.
  SettingsSource source = SettingsSource::kStore;
  WallTime applied_at;
  std::optional<RejectedRevision> rejected;
};

// A change of the settings in force; exactly one of the pointers is set.
struct SettingsChange {
  std::string subtree;
  Revision revision;
  TeamSettingsPtr team;
  FleetSettingsPtr fleet;
};

// Settings in force at this instance. The revision of a subtree only increases,
// whatever the source and order of the values; an invalid value leaves the last
// valid one in force. Thread-safe; state is sharded by subtree, with a lock for
// each shard.
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
  // Settings of the deployment; the defaults until a valid value is received.
  FleetSettingsPtr Fleet() const;

  // Calls `subscriber` for each change of the settings in force, with no lock
  // held. Two threads may report two changes in any order, so subscribers must
  // compare revisions.
  SubscriptionHandle Subscribe(Subscriber subscriber);
  // A callback that is already running may finish after this returns.
  void Unsubscribe(SubscriptionHandle handle);

  std::vector<SubtreeStatus> Status() const;
  // Revisions to compare with peers, sorted by subtree. A subtree whose newest
  // value is invalid is listed twice, with its last valid and newest revisions.
  std::vector<SubtreeRevision> Revisions() const;
  // XXH64 over Revisions().
  uint64_t Hash() const;
  Revision GreatestRevision() const;
  // True if a value of the offered revision would update the registry.
  bool Wants(const SubtreeRevision& offered) const;
  // TOML texts of `subtree`, older first; up to two, as in Revisions().
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
  // Result of parsing; `error` is set if the text is invalid.
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
  // Cached contents of a digest; rebuilt after a subtree has changed.
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
