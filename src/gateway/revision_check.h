#ifndef SRC_GATEWAY_REVISION_CHECK_H_
#define SRC_GATEWAY_REVISION_CHECK_H_

// PRIVATE HEADER. Detects a watch on the store that no longer delivers changes.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/feed_selector.h"
#include "gateway/gateway_context.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Detects a stalled watch from revisions seen elsewhere: a watch has stalled if
// a revision that was seen elsewhere `max_lag` ago has still not arrived here.
class StalledWatchDetector {
 public:
  explicit StalledWatchDetector(Duration max_lag) : m_max_lag(max_lag) {}
  // Returns true once the watch counts as stalled.
  bool Observe(StorePosition remote, StorePosition own, TimePoint now);
  void Reset() { m_awaited.reset(); }

 private:
  struct Awaited {
    StorePosition position;
    TimePoint since;
  };
  const Duration m_max_lag;
  std::optional<Awaited> m_awaited;
};

// While this instance watches the store itself, periodically compares its
// revision with that of an instance of another data centre. Nothing else
// reveals a store that keeps the connection open but sends no events.
class RevisionCheck {
 public:
  // `on_stalled` is called when the watch must be abandoned.
  RevisionCheck(GatewayContext* context,
                FeedSelector* selector,
                Duration max_lag,
                std::function<void()> on_stalled);
  ~RevisionCheck();
  RevisionCheck(const RevisionCheck&) = delete;
  RevisionCheck& operator=(const RevisionCheck&) = delete;

  // Starts or stops the checks.
  void SetActive(bool active);
  void SetPosition(StorePosition position) { m_position = position; }
  // Compares with a revision that the store returned in another reply.
  void Observe(StorePosition position);

 private:
  void Check();
  void OnReply(const std::optional<StoreReply>& reply);
  void ReportStalledWatch(StorePosition remote, const std::string& address);

  GatewayContext* const m_context;
  FeedSelector* const m_selector;
  const std::function<void()> m_on_stalled;
  StalledWatchDetector m_detector;
  StorePosition m_position;
  bool m_active = false;
  size_t m_next_feed = 0;
  // Address of the instance asked last.
  std::string m_address;
  StoreClient* m_client = nullptr;
  std::map<std::string, std::unique_ptr<StoreClient>> m_clients;
  TimerHandle m_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REVISION_CHECK_H_
