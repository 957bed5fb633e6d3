#ifndef SRC_GATEWAY_STORE_FOLLOWER_H_
#define SRC_GATEWAY_STORE_FOLLOWER_H_

// PRIVATE HEADER. Keeps this instance up to date with the key-value store.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/change_feed.h"
#include "gateway/feed_selector.h"
#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/revision_check.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Called by StoreFollower.
struct StoreFollowerHooks {
  // All keys, at the start, after a gap in the history and after the store was
  // restored from an older copy.
  std::function<void(const std::vector<StoreItem>&, StorePosition)> on_listing;
  std::function<void(const StoreItem&)> on_change;
  // All changes up to this position were reported.
  std::function<void(StorePosition)> on_caught_up;
  // The store answered, or an instance that is in contact with it.
  std::function<void()> on_store_contact;
  // The store became unreachable or reachable again, directly or through
  // another instance.
  std::function<void()> on_store_unreachable;
  // `outage`: time since the last reply.
  std::function<void(Duration outage)> on_store_reachable;
  // Whether this instance watches the store itself has changed.
  std::function<void(bool)> on_direct_changed;
};

// Lists all keys of the store once and then follows their changes, through the
// change feed of another instance if `selector` names one, otherwise with a
// watch on the store. A watch is opened again `rearm_delay` after the previous
// one returned, so that changes within that time are fetched with one call.
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
  // Lists from the first page.
  void ListAnew();
  // Handles a reply from another era than the one that is followed. Returns
  // false if the era is the same.
  bool HandleOtherEra(const char* call, const StoreReply& reply);
  // The store was restored from an older copy; reads all keys again.
  void OnRestored(const char* source, StoreEra era);
  void OnListReply(const std::optional<StoreReply>& reply);
  // Reads all keys again: from the store, or from another instance if the store
  // does not answer this one.
  void ReadAgain();
  void OnContentReply(const std::optional<StoreReply>& reply);
  void FinishListing(StorePosition position);
  // Selects the instance to call next.
  void ConnectToPeer(const FeedSource& source);
  // Waits for changes from the selected source.
  void Follow();
  void Watch();
  void OnWatchReply(const std::optional<StoreReply>& reply);
  void CallPeer(const FeedSource& source);
  // Cancels the stalled watch and follows another source.
  void OnStalledWatch();
  void SetDirect(bool direct);
  void Ping();
  void OnPingReply(const std::optional<StoreReply>& reply);
  // Records that the store is unreachable, and runs the hook if it was
  // reachable.
  void SetUnreachable(const char* call, int status);
  void OnPeerReply(const std::optional<StoreReply>& reply);
  // Decodes a reply of the instance called last. Excludes the instance for some
  // time if there is none or it is malformed; returns nullopt then.
  std::optional<FeedReply> ReadPeerReply(const std::optional<StoreReply>& reply,
                                         void (StoreFollower::*step)());
  // Repeats `step` after a short time, with another source if there is one.
  void RetryAfterPeerFailure(const char* reason, void (StoreFollower::*step)());
  void ReportChanges(std::vector<StoreItem> changes, StorePosition position);
  void Schedule(Duration delay, void (StoreFollower::*step)());
  // Records a failed call and repeats `step` after an exponential backoff.
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
  // Instance that is followed.
  FeedSource m_peer;
  bool m_direct = false;
  std::unique_ptr<StoreClient> m_peer_client;
  std::unique_ptr<StoreClient> m_previous_peer_client;
  std::vector<StoreItem> m_items;
  // Position of the first page, from which the watch continues. Later pages may
  // contain newer changes; the watch returns these again.
  StorePosition m_list_position;
  StorePosition m_position;
  std::string m_next_page_after;
  bool m_has_listing = false;
  // All keys are being read again, so that what is newer elsewhere is expected.
  bool m_rereading = false;
  bool m_store_reachable = true;
  TimePoint m_last_reply_at;
  Duration m_backoff{0};
  // Number of watches to come with the short wait that follows an outage.
  uint32_t m_short_watches = 0;
  std::optional<TimerHandle> m_timer;
  RevisionCheck m_revision_check;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STORE_FOLLOWER_H_
