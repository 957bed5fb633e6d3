#ifndef SRC_GATEWAY_CHANGE_FEED_H_
#define SRC_GATEWAY_CHANGE_FEED_H_

// PRIVATE HEADER. Forwards changes of the key-value store from instance to
// instance, so that only a few instances have to watch the store.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/caller_listener.h"
#include "gateway/change_history.h"
#include "gateway/event_loop.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_adapter.h"

namespace wasabihook::gateway {

// Reply to a request for changes that another instance sent.
struct FeedReply {
  // False if the sender has lost contact with the store.
  bool store_reachable = false;
  // True if the sender watches the store itself rather than another instance.
  bool direct = false;
  // In a reply to a request from another era there are no changes, and the era
  // shows which of the two has to read all keys again.
  StorePosition position{};
  std::vector<StoreItem> changes;
};

// Encoded as MessagePack. DecodeFeedReply throws an exception derived from
// std::exception if the body is malformed.
std::string EncodeFeedReply(const FeedReply& reply);
FeedReply DecodeFeedReply(std::string_view body);
// Long poll for changes after `position`. With `direct_only`, an instance that
// does not watch the store itself answers at once.
StoreCall MakeChangesCall(StorePosition position, bool direct_only);
// Asks for the current position; answered at once, without changes.
StoreCall MakeRevisionCall();
// Asks for all keys, as changes up to the position of the reply; answered at
// once.
StoreCall MakeContentCall();

// Serves the changes that this instance has seen as long polls. A request is
// held until a newer change is published, the reachability of the store
// changes, or a maximum wait has passed.
class ChangeFeed {
 public:
  ChangeFeed(EventLoop* loop, const std::string& address);
  ~ChangeFeed();
  ChangeFeed(const ChangeFeed&) = delete;
  ChangeFeed& operator=(const ChangeFeed&) = delete;

  const std::string& address() const { return m_listener.address(); }
  // Handles the calls that do not concern changes. Returns false if it does not
  // know the call.
  using CallHandler = std::function<bool(const InboundRequest&, Responder&)>;
  void SetCallHandler(CallHandler handler) {
    m_call_handler = std::move(handler);
  }
  // Clears the history, which starts again at `position` with the keys of
  // `items`.
  void Reset(const std::vector<StoreItem>& items, StorePosition position);
  // Appends a change to the history. Publish() sends it.
  void Add(const StoreItem& item);
  // States that all changes up to `position` were added, and answers the
  // requests that are held.
  void Publish(StorePosition position);
  void SetStoreReachable(bool store_reachable);
  void SetDirect(bool direct);
  size_t history_bytes() const { return m_history.bytes(); }

 private:
  struct Waiter {
    StorePosition after;
    TimePoint since;
  };

  void OnRequest(const InboundRequest& request, Responder& responder);
  void RespondWithChanges(Responder& responder, StorePosition after);
  void RespondWithContent(Responder& responder);
  FeedReply CurrentState() const {
    return {.store_reachable = m_store_reachable,
            .direct = m_direct,
            .position = m_position,
            .changes = {}};
  }
  void RespondToAll();
  void RespondToExpired();

  EventLoop* const m_loop;
  CallHandler m_call_handler;
  bool m_store_reachable = false;
  bool m_direct = false;
  StorePosition m_position;
  ChangeHistory m_history{kMaxFeedRemovals};
  std::map<Responder*, Waiter> m_waiters;
  // Encoded reply for m_cached_after, the last position asked for. Most waiters
  // ask for the same position.
  std::optional<StorePosition> m_cached_after;
  std::string m_cached_reply;
  CallerListener m_listener;
  TimerHandle m_waiter_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CHANGE_FEED_H_
