#ifndef SRC_DECISION_SETTINGS_SETTINGS_SYNC_H_
#define SRC_DECISION_SETTINGS_SETTINGS_SYNC_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "decision/membership/membership.h"
#include "decision/settings/peer_exchange.h"
#include "decision/settings/settings_registry.h"
#include "decision/settings/store_watch.h"
#include "wasabihook/peer.h"
#include "wasabihook/platform.h"

namespace wasabihook {

// All pointers outlive the SettingsSync.
struct SettingsSyncDeps {
  TimerService* timers = nullptr;
  KeyValueStore* store = nullptr;
  PeerTransport* transport = nullptr;
  SettingsRegistry* registry = nullptr;
  std::shared_ptr<Membership> membership;
  RandomSource random;
  // Peers to call while no other is known, "ip:port".
  std::vector<std::string> seed_peers;
  // What to tell peers, and what peers told; both may be empty. The latter
  // returns true if it held something new that peers should learn at once.
  std::function<PeerNotices()> notices;
  std::function<bool(const PeerNotices&)> on_notices;
};

struct SettingsSyncStatus {
  bool watcher = false;
  // Time since the store and a peer last answered; empty if they never did.
  std::optional<Duration> store_age;
  std::optional<Duration> peer_age;
};

// Keeps the settings of this instance up to date: reads the store at the start,
// holds a platform watch while rendezvous hashing over the live instances
// selects this one, and exchanges digests with peers. Thread-safe.
class SettingsSync {
 public:
  explicit SettingsSync(SettingsSyncDeps deps);
  // Callbacks under way may finish after the destructor returns; they need the
  // objects that the dependencies point to.
  ~SettingsSync();
  SettingsSync(const SettingsSync&) = delete;
  SettingsSync& operator=(const SettingsSync&) = delete;

  void Start();
  // Answers a digest or a pull of a peer.
  PeerResponse Handle(const PeerRequest& request);
  // Tells a few peers at once of settings and notices.
  void NotifyPeers();
  SettingsSyncStatus Status() const;

 private:
  const SettingsSyncDeps m_deps;
  std::shared_ptr<PeerExchange> m_exchange;
  std::shared_ptr<StoreWatch> m_watch;
  SubscriptionHandle m_settings_subscription;
  SubscriptionHandle m_members_subscription;
};

// Rank of `self` in the order in which the live instances of its data centre
// take up the watch; the first `watchers` hold it.
struct WatcherRank {
  size_t rank = 0;
  size_t live = 0;
  std::vector<std::string> watchers;  // Addresses.
};
WatcherRank RankWatchers(const std::vector<Member>& members,
                         const PeerIdentity& self,
                         size_t watchers);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_SYNC_H_
