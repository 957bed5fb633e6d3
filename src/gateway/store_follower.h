#ifndef SRC_GATEWAY_STORE_FOLLOWER_H_
#define SRC_GATEWAY_STORE_FOLLOWER_H_

// PRIVATE HEADER.

#include <functional>
#include <string>
#include <vector>

#include "gateway/feed_selector.h"
#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/revision_check.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// What a follower reports.
struct StoreFollowerHooks {
  // All keys at the start and after a gap in the history.
  std::function<void(const std::vector<StoreItem>&, Revision)> on_listing;
  std::function<void(const StoreItem&)> on_change;
  // All changes up to the revision were reported.
  std::function<void(Revision)> on_caught_up;
  // The store stopped answering this instance, or answers again.
  std::function<void()> on_store_unreachable;
  // `away`: time since it was last heard of.
  std::function<void(Duration outage)> on_store_reachable;
  // This instance watches the store itself, or no longer does.
  std::function<void(bool)> on_direct_changed;
};

// Reads all keys of the store once and follows their changes, through another
// instance where `choice` names one, else with a watch of its own. Changes that
// come close together are fetched with one call: after each return the watch is
// armed again only after `rearm_delay`.
class StoreFollower {
 public:
  StoreFollower(GatewayContext* context,
                const StoreCodec* codec,
                FeedSelector* selector,
                Duration rearm_delay,
                StoreFollowerHooks hooks);
  ~StoreFollower();
  StoreFollower(const StoreFollower&) = delete;
  StoreFollower& operator=(const StoreFollower&) = delete;

  void Start() { List(); }
  bool store_reachable() const { return m_store_reachable; }

 private:
  void List();
  void OnListReply(const std::optional<StoreReply>& reply);
  // Waits for changes, at another instance or at the store.
  void Follow();
  void Watch();
  void OnWatchReply(const std::optional<StoreReply>& reply);
  void CallPeer(const FeedSource& source);
  // The watch in progress hears nothing: drops it and turns elsewhere.
  void OnStalledWatch();
  void SetDirect(bool direct);
  void Ping();
  void OnPingReply(const std::optional<StoreReply>& reply);
  // Nothing shows any more that the store is there.
  void SetUnreachable(const char* call, int status);
  void OnPeerReply(const std::optional<StoreReply>& reply);
  void RetryAfterPeerFailure(const char* reason);
  void ReportChanges(const std::vector<StoreItem>& changes, Revision revision);
  void Schedule(Duration delay, void (StoreFollower::*step)());
  // Repeats `step` after a growing delay.
  void Retry(const char* call, int status, void (StoreFollower::*step)());
  void SetReachable();
  Duration Jittered(Duration delay) const;

  GatewayContext* const m_context;
  const StoreCodec* const m_codec;
  FeedSelector* const m_selector;
  const Duration m_rearm_delay;
  const StoreFollowerHooks m_hooks;
  StoreClient m_client;
  StoreClient m_ping_client;
  TimerHandle m_ping_timer;
  // Connection to the instance that is followed.
  FeedSource m_peer;
  bool m_direct = false;
  std::unique_ptr<StoreClient> m_peer_client;
  std::unique_ptr<StoreClient> m_previous_peer_client;
  std::vector<StoreItem> m_items;
  // Where the watch goes on: the revision of the first page, since later pages
  // may show newer changes that the watch then repeats.
  Revision m_list_revision;
  Revision m_revision;
  std::string m_next_page_after;
  bool m_has_listing = false;
  bool m_store_reachable = true;
  TimePoint m_last_reply_at;
  Duration m_backoff{0};
  // Watches that are kept short, since the store was lost a moment ago.
  uint32_t m_short_watches = 0;
  std::optional<TimerHandle> m_timer;
  RevisionCheck m_revision_check;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STORE_FOLLOWER_H_
