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
  // Peers to call while no other peer is known, "ip:port".
  std::vector<std::string> seed_peers;
  // Provides the notices to send to peers and processes those received; both
  // may be empty. `on_notices` returns true if the notices contain something
  // new that other peers should learn immediately.
  std::function<PeerNotices()> notices;
  std::function<bool(const PeerNotices&)> on_notices;
};

struct SettingsSyncStatus {
  bool watcher = false;
  // Time since the last response from the store and from a peer; empty if there
  // was none.
  std::optional<Duration> store_age;
  std::optional<Duration> peer_age;
};

// Keeps the settings of this instance up to date: reads the store at startup,
// watches it while rendezvous hashing over the live instances of the data
// centre selects this instance, and exchanges digests with peers. Thread-safe.
class SettingsSync {
 public:
  explicit SettingsSync(SettingsSyncDeps deps);
  // Callbacks in progress may finish after the destructor returns, so the
  // objects that the dependencies point to must outlive them.
  ~SettingsSync();
  SettingsSync(const SettingsSync&) = delete;
  SettingsSync& operator=(const SettingsSync&) = delete;

  void Start();
  // Handles a digest or pull request from a peer.
  PeerResponse Handle(const PeerRequest& request);
  // Sends a digest with settings revisions and notices to a few peers soon.
  void NotifyPeers();
  SettingsSyncStatus Status() const;

 private:
  const SettingsSyncDeps m_deps;
  std::shared_ptr<PeerExchange> m_exchange;
  std::shared_ptr<StoreWatch> m_watch;
  SubscriptionHandle m_settings_subscription;
  SubscriptionHandle m_members_subscription;
};

// Rank of `self` in the rendezvous order of the live instances of its data
// centre; the first `watchers` instances watch the store.
struct WatcherRank {
  size_t rank = 0;
  size_t live = 0;
  std::vector<std::string> watchers;  // Addresses of the watchers.
};
WatcherRank RankWatchers(const std::vector<Member>& members,
                         const PeerIdentity& self,
                         size_t watchers);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_SYNC_H_
