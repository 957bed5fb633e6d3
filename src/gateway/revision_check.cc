#include "gateway/revision_check.h"

#include <utility>

#include "gateway/change_feed.h"

namespace wasabihook::gateway {

bool StalledWatchDetector::Observe(StorePosition remote,
                                   StorePosition own,
                                   TimePoint now) {
  if (m_awaited && own >= m_awaited->position)
    m_awaited.reset();
  if (!m_awaited) {
    if (remote > own)
      m_awaited = {.position = remote, .since = now};
    return false;
  }
  return now - m_awaited->since >= m_max_lag;
}

RevisionCheck::RevisionCheck(GatewayContext* context,
                             FeedSelector* selector,
                             Duration max_lag,
                             std::function<void()> on_stalled)
    : m_context(context),
      m_selector(selector),
      m_on_stalled(std::move(on_stalled)),
      m_detector(max_lag),
      m_timer(context->loop->SubscribeEvery(kRevisionCheckPeriod,
                                            [this] { Check(); })) {}

RevisionCheck::~RevisionCheck() {
  m_context->loop->Unsubscribe(m_timer);
}

void RevisionCheck::SetActive(bool active) {
  if (active != m_active)
    m_detector.Reset();
  m_active = active;
}

void RevisionCheck::Check() {
  if (!m_active || (m_client != nullptr && m_client->busy()))
    return;
  const std::vector<std::string> remote_feeds =
      m_selector->RemoteFeeds(m_context->loop->Now());
  if (remote_feeds.empty())
    return;
  // Round robin, since the watch of a single instance may have stalled as well.
  m_address = remote_feeds[m_next_feed++ % remote_feeds.size()];
  std::unique_ptr<StoreClient>& client = m_clients[m_address];
  if (client == nullptr)
    client = std::make_unique<StoreClient>(m_context->loop, m_address);
  m_client = client.get();
  m_client->Call(
      MakeRevisionCall(), kFeedTimeout,
      [this](const std::optional<StoreReply>& reply) { OnReply(reply); });
}

void RevisionCheck::OnReply(const std::optional<StoreReply>& reply) {
  const TimePoint now = m_context->loop->Now();
  if (!reply) {
    m_selector->OnPeerFailure(m_address, now);
    return;
  }
  try {
    const FeedReply state = DecodeFeedReply(reply->body);
    if (state.store_reachable)
      m_selector->OnPeerSuccess(m_address);
    if (!m_active || !state.store_reachable ||
        !m_detector.Observe(state.position, m_position, now))
      return;
    m_selector->OnPeerAhead(m_address);
    ReportStalledWatch(state.position, m_address);
  } catch (const std::exception& error) {
    m_context->log->Warning("feed_invalid",
                            {{"address", m_address}, {"reason", error.what()}});
    m_selector->OnPeerFailure(m_address, now);
  }
}

void RevisionCheck::Observe(StorePosition position) {
  if (m_active &&
      m_detector.Observe(position, m_position, m_context->loop->Now()))
    ReportStalledWatch(position, m_context->settings->store_address);
}

void RevisionCheck::ReportStalledWatch(StorePosition remote,
                                       const std::string& address) {
  m_context->log->Warning("watch_deaf",
                          {{"era", m_position.era.value()},
                           {"revision", m_position.revision.value()},
                           {"elsewhere_era", remote.era.value()},
                           {"elsewhere", remote.revision.value()},
                           {"address", address}});
  m_detector.Reset();
  m_on_stalled();
}

}  // namespace wasabihook::gateway
