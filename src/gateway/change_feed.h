#ifndef SRC_GATEWAY_CHANGE_FEED_H_
#define SRC_GATEWAY_CHANGE_FEED_H_

// PRIVATE HEADER. Passes changes of the store on between the instances of one
// data centre, so that few of them have to watch it.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/caller_listener.h"
#include "gateway/event_loop.h"
#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// What one instance tells another of the store.
struct FeedReply {
  // False if the sender itself has lost the store.
  bool store_reachable = false;
  // The sender watches the store itself.
  bool direct = false;
  Revision revision;
  std::vector<StoreItem> changes;
};

// Encoding of the feed: MessagePack. Decode throws std::runtime_error.
std::string EncodeFeedReply(const FeedReply& reply);
FeedReply DecodeFeedReply(std::string_view body);
// Call that waits at an instance for changes after `revision`. `direct_only`:
// an instance that does not watch the store itself answers at once.
StoreCall MakeChangesCall(Revision revision, bool direct_only);
// Call that is answered at once, without changes.
StoreCall MakeRevisionCall();

// Serves the changes that this instance has seen. A request waits until there
// is a newer change, the contact with the store changes, or a time has passed.
class ChangeFeed {
 public:
  ChangeFeed(EventLoop* loop, const std::string& address);
  ~ChangeFeed();
  ChangeFeed(const ChangeFeed&) = delete;
  ChangeFeed& operator=(const ChangeFeed&) = delete;

  const std::string& address() const { return m_listener.address(); }
  // The history starts anew at `revision`.
  void Reset(Revision revision);
  // Adds a change; Publish() sends it.
  void Add(const StoreItem& item);
  // All changes up to `revision` are known.
  void Publish(Revision revision);
  void SetStoreReachable(bool store_reachable);
  void SetDirect(bool direct);

 private:
  struct Waiter {
    Revision after;
    TimePoint since;
  };

  void OnRequest(const InboundRequest& request, Responder& responder);
  void RespondWithChanges(Responder& responder, Revision after);
  FeedReply CurrentState() const {
    return {.store_reachable = m_store_reachable,
            .direct = m_direct,
            .revision = m_revision,
            .changes = {}};
  }
  void RespondToAll();
  void RespondToExpired();

  EventLoop* const m_loop;
  bool m_store_reachable = false;
  bool m_direct = false;
  Revision m_history_start;
  Revision m_revision;
  std::deque<StoreItem> m_history;
  std::map<Responder*, Waiter> m_waiters;
  // Encoded reply of the revision that was asked for last: mostly all waiters
  // stand at the same one.
  std::optional<Revision> m_cached_after;
  std::string m_cached_reply;
  CallerListener m_listener;
  TimerHandle m_waiter_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CHANGE_FEED_H_
