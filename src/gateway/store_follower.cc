#include "gateway/store_follower.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
// Delay before listing again after a gap in the history. Limits the call rate
// if the store keeps compacting.
constexpr Duration kRelistDelay = std::chrono::milliseconds(300);

}  // namespace

StoreFollower::StoreFollower(GatewayContext* context,
                             const StoreCodec* codec,
                             FeedSelector* selector,
                             Duration rearm_delay,
                             StoreFollowerHooks hooks)
    : m_context(context),
      m_codec(codec),
      m_selector(selector),
      m_rearm_delay(rearm_delay),
      m_hooks(std::move(hooks)),
      m_client(context->loop,
               context->settings->store_address,
               context->platform->headers.store_era),
      m_ping_client(context->loop,
                    context->settings->store_address,
                    context->platform->headers.store_era),
      m_ping_timer(
          context->loop->SubscribeEvery(kStorePingPeriod, [this] { Ping(); })),
      m_last_reply_at(context->loop->Now()),
      m_revision_check(context,
                       selector,
                       rearm_delay + kRevisionCheckPeriod,
                       [this] { OnStalledWatch(); }) {}

StoreFollower::~StoreFollower() {
  m_context->loop->Unsubscribe(m_ping_timer);
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
}

void StoreFollower::Schedule(Duration delay, void (StoreFollower::*step)()) {
  m_timer = m_context->loop->SubscribeOnce(delay, [this, step] {
    m_timer.reset();
    (this->*step)();
  });
}

void StoreFollower::SetReachable() {
  m_backoff = Duration(0);
  const TimePoint now = m_context->loop->Now();
  const Duration outage = now - m_last_reply_at;
  m_last_reply_at = now;
  m_hooks.on_store_contact();
  if (m_store_reachable)
    return;
  m_store_reachable = true;
  m_context->log->Info("store_regained", {{"away_ms", outage.count() / 1000}});
  m_hooks.on_store_reachable(outage);
}

void StoreFollower::SetUnreachable(const char* call, int status) {
  if (!m_store_reachable)
    return;
  m_store_reachable = false;
  m_context->log->Warning("store_lost",
                          {{"call", call},
                           {"status", status},
                           {"era", m_position.era.value()},
                           {"revision", m_position.revision.value()}});
  m_hooks.on_store_unreachable();
}

void StoreFollower::Retry(const char* call,
                          int status,
                          void (StoreFollower::*step)()) {
  m_context->metrics->CountStoreCall(call, status == 0 ? "lost" : "refused");
  SetUnreachable(call, status);
  m_backoff = std::clamp(m_backoff * 2, kStoreBackoff, kStoreMaxBackoff);
  m_short_watches = kStoreShortWatchCount;
  Schedule(Jittered(m_backoff), step);
}

// A pending watch does not show whether the store is alive, and the instances
// that follow this one rely on it to detect an outage.
void StoreFollower::Ping() {
  if (!m_direct || !m_client.busy() || m_ping_client.busy())
    return;
  m_ping_client.Call(
      m_codec->Ping(), kStorePingTimeout,
      [this](const std::optional<StoreReply>& reply) { OnPingReply(reply); });
}

void StoreFollower::OnPingReply(const std::optional<StoreReply>& reply) {
  if (!m_direct || !m_client.busy())
    return;
  if (reply && reply->status == kOk) {
    m_context->metrics->CountStoreCall("ping", "ok");
    SetReachable();
    if (m_rereading)
      return;
    if (JudgeEra(m_position.era, reply->era) == ReplyEra::kRestored) {
      m_client.Cancel();
      OnRestored("ping", *reply->era);
      return;
    }
    try {
      m_revision_check.Observe(
          {.era = reply->era.value_or(m_position.era),
           .revision = m_codec->DecodeListing(reply->body).revision});
    } catch (const std::exception& error) {
      m_context->log->Warning("store_reply_invalid",
                              {{"call", "ping"}, {"reason", error.what()}});
    }
    return;
  }
  m_client.Cancel();
  m_selector->OnStoreFailure(m_context->loop->Now());
  Retry("ping", reply ? reply->status : 0, &StoreFollower::Follow);
}

// Returns 50 % to 150 % of `delay`, so that instances do not retry at the same
// time.
Duration StoreFollower::Jittered(Duration delay) const {
  return Duration(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                       (0.5 + m_context->Uniform())));
}

void StoreFollower::ListAnew() {
  m_rereading = true;
  m_next_page_after.clear();
  m_items.clear();
  List();
}

void StoreFollower::OnRestored(const char* source, StoreEra era) {
  m_context->log->Warning("store_restored",
                          {{"source", source},
                           {"from_era", m_position.era.value()},
                           {"to_era", era.value()},
                           {"revision", m_position.revision.value()}});
  m_context->metrics->CountStoreCall(source, "restored");
  // All instances learn of it at the same moment.
  Schedule(Jittered(kRelistDelay) / 2, &StoreFollower::ListAnew);
}

bool StoreFollower::HandleOtherEra(const char* call, const StoreReply& reply) {
  switch (JudgeEra(m_position.era, reply.era)) {
    case ReplyEra::kSame:
      return false;
    case ReplyEra::kRestored:
      SetReachable();
      OnRestored(call, *reply.era);
      return true;
    case ReplyEra::kStale:
      break;
  }
  m_context->log->Warning("store_reply_stale",
                          {{"call", call},
                           {"era", reply.era->value()},
                           {"followed_era", m_position.era.value()}});
  m_client.DropConnection();
  Retry(call, reply.status, &StoreFollower::Follow);
  return true;
}

void StoreFollower::List() {
  m_client.Call(
      m_codec->List("", m_next_page_after), kStoreCallTimeout,
      [this](std::optional<StoreReply> reply) { OnListReply(reply); });
}

void StoreFollower::OnListReply(const std::optional<StoreReply>& reply) {
  if (!reply || reply->status != kOk) {
    m_selector->OnStoreFailure(m_context->loop->Now());
    Retry("list", reply ? reply->status : 0,
          m_has_listing ? &StoreFollower::ReadAgain : &StoreFollower::List);
    return;
  }
  StoreListing page;
  try {
    page = m_codec->DecodeListing(reply->body);
    // Another page than the one asked for is a late copy of an earlier reply.
    if (!page.items.empty() && page.items.front().key <= m_next_page_after)
      throw std::runtime_error("not the page that was asked for");
  } catch (const std::exception& error) {
    m_context->log->Warning("store_reply_invalid",
                            {{"call", "list"}, {"reason", error.what()}});
    m_client.DropConnection();
    Retry("list", reply->status, &StoreFollower::List);
    return;
  }
  const StoreEra era = reply->era.value_or(
      m_next_page_after.empty() ? m_position.era : m_list_position.era);
  // A reply from before the store was restored, or pages of two eras.
  if (era < m_position.era ||
      (!m_next_page_after.empty() && era != m_list_position.era)) {
    m_context->log->Warning("store_reply_stale",
                            {{"call", "list"},
                             {"era", era.value()},
                             {"followed_era", m_position.era.value()}});
    m_client.DropConnection();
    Retry("list", reply->status, &StoreFollower::ListAnew);
    return;
  }
  SetReachable();
  m_context->metrics->CountStoreCall("list", "ok");
  if (m_next_page_after.empty())
    m_list_position = {.era = era, .revision = page.revision};
  for (StoreItem& item : page.items) {
    item.era = era;
    item.listed = true;
  }
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  if (page.truncated && !m_items.empty()) {
    m_next_page_after = m_items.back().key;
    List();
    return;
  }
  m_next_page_after.clear();
  m_selector->OnStoreSuccess();
  FinishListing(m_list_position);
}

void StoreFollower::ReadAgain() {
  const FeedSource source = m_selector->Select(m_context->loop->Now());
  SetDirect(source.is_store());
  if (source.is_store()) {
    ListAnew();
    return;
  }
  ConnectToPeer(source);
  m_peer_client->Call(
      MakeContentCall(), kFeedTimeout,
      [this](std::optional<StoreReply> reply) { OnContentReply(reply); });
}

void StoreFollower::OnContentReply(const std::optional<StoreReply>& reply) {
  std::optional<FeedReply> feed =
      ReadPeerReply(reply, &StoreFollower::ReadAgain);
  if (!feed)
    return;
  if (!feed->store_reachable || (m_peer.direct_only && !feed->direct) ||
      feed->position < m_position) {
    m_selector->OnPeerUnusable(m_peer.address, m_context->loop->Now());
    RetryAfterPeerFailure("the instance has not read the restored store",
                          &StoreFollower::ReadAgain);
    return;
  }
  m_context->log->Info("content_copied",
                       {{"address", m_peer.address},
                        {"keys", feed->changes.size()},
                        {"era", feed->position.era.value()},
                        {"revision", feed->position.revision.value()}});
  m_selector->OnPeerSuccess(m_peer.address);
  SetReachable();
  m_items = std::move(feed->changes);
  for (StoreItem& item : m_items)
    item.listed = true;
  FinishListing(feed->position);
}

void StoreFollower::FinishListing(StorePosition position) {
  m_rereading = false;
  m_position = position;
  m_revision_check.SetPosition(m_position);
  m_hooks.on_listing(m_items, m_position);
  m_items.clear();
  m_items.shrink_to_fit();
  // The delay lets instances that start together register and find each other
  // before they select a source, so that most never watch the store.
  const bool first = !m_has_listing;
  m_has_listing = true;
  if (first && m_selector->other_count() == 0)
    Schedule(m_rearm_delay, &StoreFollower::Follow);
  else
    Follow();
}

void StoreFollower::SetDirect(bool direct) {
  m_revision_check.SetActive(direct);
  if (direct != m_direct)
    m_hooks.on_direct_changed(direct);
  m_direct = direct;
}

void StoreFollower::Follow() {
  m_rereading = false;
  const FeedSource source = m_selector->Select(m_context->loop->Now());
  SetDirect(source.is_store());
  if (source.is_store())
    Watch();
  else
    CallPeer(source);
}

void StoreFollower::ConnectToPeer(const FeedSource& source) {
  if (m_peer_client == nullptr || m_peer.address != source.address) {
    m_context->log->Info("feed_followed",
                         {{"address", source.address},
                          {"direct_only", source.direct_only},
                          {"era", m_position.era.value()},
                          {"revision", m_position.revision.value()}});
    // The old client may be on the call stack below this function.
    m_previous_peer_client = std::move(m_peer_client);
    m_peer_client =
        std::make_unique<StoreClient>(m_context->loop, source.address);
  }
  m_peer = source;
}

void StoreFollower::CallPeer(const FeedSource& source) {
  ConnectToPeer(source);
  m_peer_client->Call(
      MakeChangesCall(m_position, source.direct_only), kFeedTimeout,
      [this](std::optional<StoreReply> reply) { OnPeerReply(reply); });
}

void StoreFollower::OnStalledWatch() {
  if (m_rereading || !m_client.Cancel())
    return;
  m_selector->OnStoreFailure(m_context->loop->Now());
  m_short_watches = kStoreShortWatchCount;
  Schedule(Duration(0), &StoreFollower::Follow);
}

void StoreFollower::RetryAfterPeerFailure(const char* reason,
                                          void (StoreFollower::*step)()) {
  m_context->log->Warning("feed_failed",
                          {{"address", m_peer.address},
                           {"reason", reason},
                           {"era", m_position.era.value()},
                           {"revision", m_position.revision.value()}});
  m_short_watches = kStoreShortWatchCount;
  // Instances that follow this one must not rely on it until it has a working
  // source again.
  SetUnreachable("feed", 0);
  // If a feed of another data centre fails, try the store next rather than a
  // feed of a third one: by now the store is more likely to be back.
  if (m_peer.direct_only)
    m_selector->OnStoreSuccess();
  // The other instance may recover soon. If all its followers turned to the
  // store at once, the store would get a burst of calls.
  Schedule(Jittered(kStoreBackoff), step);
}

std::optional<FeedReply> StoreFollower::ReadPeerReply(
    const std::optional<StoreReply>& reply,
    void (StoreFollower::*step)()) {
  const TimePoint now = m_context->loop->Now();
  if (!reply) {
    m_selector->OnPeerFailure(m_peer.address, now);
    RetryAfterPeerFailure("no reply", step);
    return std::nullopt;
  }
  try {
    if (reply->status != kOk)
      throw std::runtime_error("status " + std::to_string(reply->status));
    return DecodeFeedReply(reply->body);
  } catch (const std::exception& error) {
    // Status 410 means that the other instance's history starts after our
    // revision.
    m_selector->OnPeerUnusable(m_peer.address, now);
    RetryAfterPeerFailure(error.what(), step);
    return std::nullopt;
  }
}

void StoreFollower::OnPeerReply(const std::optional<StoreReply>& reply) {
  std::optional<FeedReply> feed = ReadPeerReply(reply, &StoreFollower::Follow);
  if (!feed)
    return;
  const TimePoint now = m_context->loop->Now();
  const ReplyEra era = JudgeEra(m_position.era, feed->position.era);
  if (era == ReplyEra::kRestored) {
    OnRestored("feed", feed->position.era);
    return;
  }
  if (era == ReplyEra::kStale) {
    m_selector->OnPeerUnusable(m_peer.address, now);
    RetryAfterPeerFailure("the instance has not read the restored store",
                          &StoreFollower::Follow);
    return;
  }
  ReportChanges(std::move(feed->changes), feed->position);
  if (!feed->store_reachable || (m_peer.direct_only && !feed->direct)) {
    m_selector->OnPeerUnusable(m_peer.address, now);
    RetryAfterPeerFailure("the instance has lost contact with the store",
                          &StoreFollower::Follow);
    return;
  }
  m_selector->OnPeerSuccess(m_peer.address);
  SetReachable();
  Follow();
}

void StoreFollower::ReportChanges(std::vector<StoreItem> changes,
                                  StorePosition position) {
  // A reply that arrives twice on a reused connection must not bring back what
  // was removed since.
  for (StoreItem& item : changes) {
    item.era = position.era;
    if (item.position() > m_position)
      m_hooks.on_change(item);
  }
  m_position = std::max(m_position, position);
  m_revision_check.SetPosition(m_position);
  m_hooks.on_caught_up(m_position);
}

void StoreFollower::Watch() {
  Duration wait = kStoreWatchWait;
  if (m_short_watches > 0) {
    --m_short_watches;
    wait = kStoreShortWatchWait;
  } else if (m_selector->RemoteFeeds(m_context->loop->Now()).empty()) {
    wait = kUncheckedWatchWait;
  }
  m_client.Call(
      m_codec->Watch("", m_position.revision, wait), wait + kStoreWatchGrace,
      [this](std::optional<StoreReply> reply) { OnWatchReply(reply); });
}

void StoreFollower::OnWatchReply(const std::optional<StoreReply>& reply) {
  if (reply && m_codec->IsCompacted(reply->status)) {
    if (HandleOtherEra("watch", *reply))
      return;
    m_context->log->Warning("store_history_gone",
                            {{"era", m_position.era.value()},
                             {"revision", m_position.revision.value()}});
    m_context->metrics->CountStoreCall("watch", "compacted");
    Schedule(kRelistDelay, &StoreFollower::ListAnew);
    return;
  }
  if (!reply || reply->status != kOk) {
    m_selector->OnStoreFailure(m_context->loop->Now());
    Retry("watch", reply ? reply->status : 0, &StoreFollower::Follow);
    return;
  }
  if (HandleOtherEra("watch", *reply))
    return;
  StoreListing events;
  try {
    events = m_codec->DecodeEvents(reply->body);
  } catch (const std::exception& error) {
    m_context->log->Warning("store_reply_invalid",
                            {{"call", "watch"}, {"reason", error.what()}});
    m_client.DropConnection();
    Retry("watch", reply->status, &StoreFollower::ListAnew);
    return;
  }
  SetReachable();
  m_context->metrics->CountStoreCall("watch", "ok");
  m_selector->OnStoreSuccess();
  if (events.items.empty() && events.revision > m_position.revision) {
    // All keys are watched, so each new revision has an event. A newer revision
    // without events means that the watch was opened in a gap of the history.
    m_context->log->Warning("store_events_missed",
                            {{"after", m_position.revision.value()},
                             {"revision", events.revision.value()}});
    ListAnew();
    return;
  }
  ReportChanges(std::move(events.items),
                {.era = m_position.era, .revision = events.revision});
  Schedule(m_rearm_delay, &StoreFollower::Follow);
}

}  // namespace wasabihook::gateway
