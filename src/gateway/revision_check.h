#ifndef SRC_GATEWAY_REVISION_CHECK_H_
#define SRC_GATEWAY_REVISION_CHECK_H_

// PRIVATE HEADER.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/feed_selector.h"
#include "gateway/gateway_context.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Decides from revisions seen elsewhere whether the own watch has gone deaf: it
// has if a revision that another instance knew `patience` ago is still unknown
// here.
class StalledWatchDetector {
 public:
  explicit StalledWatchDetector(Duration max_lag) : m_max_lag(max_lag) {}
  // Returns true once the watch counts as deaf.
  bool Observe(Revision remote, Revision own, TimePoint now);
  void Reset() { m_awaited.reset(); }

 private:
  struct Awaited {
    Revision revision;
    TimePoint since;
  };
  const Duration m_max_lag;
  std::optional<Awaited> m_awaited;
};

// Asks an instance of another data centre for its revision from time to time
// while this instance watches the store itself. A store that keeps the
// connection but stays silent does not show in any other way.
class RevisionCheck {
 public:
  // `on_stalled` runs when the watch must be given up.
  RevisionCheck(GatewayContext* context,
                FeedSelector* selector,
                Duration max_lag,
                std::function<void()> on_stalled);
  ~RevisionCheck();
  RevisionCheck(const RevisionCheck&) = delete;
  RevisionCheck& operator=(const RevisionCheck&) = delete;

  // Starts or ends the checks.
  void SetActive(bool active);
  void SetRevision(Revision revision) { m_revision = revision; }
  // The store itself has shown this revision in another reply.
  void Observe(Revision revision);

 private:
  void Check();
  void OnReply(const std::optional<StoreReply>& reply);
  void ReportStalledWatch(Revision remote, const std::string& address);

  GatewayContext* const m_context;
  FeedSelector* const m_selector;
  const std::function<void()> m_on_stalled;
  StalledWatchDetector m_detector;
  Revision m_revision;
  bool m_active = false;
  size_t m_next_feed = 0;
  // Instance asked last.
  std::string m_address;
  StoreClient* m_client = nullptr;
  std::map<std::string, std::unique_ptr<StoreClient>> m_clients;
  TimerHandle m_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REVISION_CHECK_H_
