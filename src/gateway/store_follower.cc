#include "gateway/store_follower.h"

#include <algorithm>
#include <utility>

#include "gateway/change_feed.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
// Pause before the keys are listed again after a gap in the history; bounds
// the calls if the store keeps dropping it.
constexpr Duration kRelistDelay = std::chrono::milliseconds(300);

}  // namespace

StoreFollower::StoreFollower(GatewayContext* context,
                             const StoreCodec* codec,
                             FeedChoice* choice,
                             Duration rearm_delay,
                             StoreEvents events)
    : m_context(context),
      m_codec(codec),
      m_choice(choice),
      m_rearm_delay(rearm_delay),
      m_events(std::move(events)),
      m_client(context->loop, context->settings->store_address),
      m_ping_client(context->loop, context->settings->store_address),
      m_ping_timer(
          context->loop->SubscribeEvery(kStorePingPeriod, [this] { Ping(); })),
      m_last_heard(context->loop->Now()),
      m_check(context, choice, rearm_delay + kRevisionCheckPeriod, [this] {
        OnDeafWatch();
      }) {}

StoreFollower::~StoreFollower() {
  m_context->loop->Unsubscribe(m_ping_timer);
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
}

void StoreFollower::Later(Duration delay, void (StoreFollower::*step)()) {
  m_timer = m_context->loop->SubscribeOnce(delay, [this, step] {
    m_timer.reset();
    (this->*step)();
  });
}

void StoreFollower::OnAnswered() {
  m_backoff = Duration(0);
  const TimePoint now = m_context->loop->Now();
  const Duration away = now - m_last_heard;
  m_last_heard = now;
  if (m_in_contact)
    return;
  m_in_contact = true;
  m_context->log->Info("store_regained", {{"away_ms", away.count() / 1000}});
  m_events.on_regained(away);
}

void StoreFollower::Lose(const char* call, int status) {
  if (!m_in_contact)
    return;
  m_in_contact = false;
  m_context->log->Warning(
      "store_lost",
      {{"call", call}, {"status", status}, {"revision", m_revision.value()}});
  m_events.on_lost();
}

void StoreFollower::Retry(const char* call,
                          int status,
                          void (StoreFollower::*step)()) {
  m_context->metrics->CountStoreCall(call, status == 0 ? "lost" : "refused");
  Lose(call, status);
  m_backoff = std::clamp(m_backoff * 2, kStoreBackoff, kStoreMaxBackoff);
  m_short_watches = kStoreShortWatchCount;
  Later(Jittered(m_backoff), step);
}

// A watch that waits shows nothing of the store; other instances rely on this
// one to know when it is gone.
void StoreFollower::Ping() {
  if (!m_direct || !m_client.busy() || m_ping_client.busy())
    return;
  m_ping_client.Call(
      m_codec->Ping(), kStorePingTimeout,
      [this](const std::optional<StoreReply>& reply) { OnPing(reply); });
}

void StoreFollower::OnPing(const std::optional<StoreReply>& reply) {
  if (!m_direct || !m_client.busy())
    return;
  if (reply && reply->status == kOk) {
    m_context->metrics->CountStoreCall("ping", "ok");
    OnAnswered();
    try {
      m_check.Observe(m_codec->DecodeListing(reply->body).revision);
    } catch (const std::exception& error) {
      m_context->log->Warning("store_reply_invalid",
                              {{"call", "ping"}, {"reason", error.what()}});
    }
    return;
  }
  m_client.Cancel();
  m_choice->OnStoreFailure(m_context->loop->Now());
  Retry("ping", reply ? reply->status : 0, &StoreFollower::Follow);
}

// Half of the delay is random, so that instances do not return together.
Duration StoreFollower::Jittered(Duration delay) const {
  return Duration(static_cast<int64_t>(static_cast<double>(delay.count()) *
                                       (0.5 + m_context->Uniform())));
}

void StoreFollower::List() {
  m_client.Call(m_codec->List("", m_after), kStoreCallTimeout,
                [this](std::optional<StoreReply> reply) { OnPage(reply); });
}

void StoreFollower::OnPage(const std::optional<StoreReply>& reply) {
  if (!reply || reply->status != kOk) {
    Retry("list", reply ? reply->status : 0, &StoreFollower::List);
    return;
  }
  StoreListing page;
  try {
    page = m_codec->DecodeListing(reply->body);
  } catch (const std::exception& error) {
    m_context->log->Warning("store_reply_invalid",
                            {{"call", "list"}, {"reason", error.what()}});
    Retry("list", reply->status, &StoreFollower::List);
    return;
  }
  OnAnswered();
  m_context->metrics->CountStoreCall("list", "ok");
  if (m_after.empty())
    m_list_revision = page.revision;
  std::move(page.items.begin(), page.items.end(), std::back_inserter(m_items));
  if (page.truncated && !m_items.empty()) {
    m_after = m_items.back().key;
    List();
    return;
  }
  m_after.clear();
  m_revision = m_list_revision;
  m_check.SetRevision(m_revision);
  m_events.on_listing(m_items, m_revision);
  m_items.clear();
  m_items.shrink_to_fit();
  // Instances that start together register first and then find each other, so
  // that most of them never have to watch the store.
  const bool first = !m_listed_once;
  m_listed_once = true;
  if (first && m_choice->others() == 0)
    Later(m_rearm_delay, &StoreFollower::Follow);
  else
    Follow();
}

void StoreFollower::SetDirect(bool direct) {
  m_check.SetActive(direct);
  if (direct != m_direct)
    m_events.on_direct(direct);
  m_direct = direct;
}

void StoreFollower::Follow() {
  const FeedSource source = m_choice->Choose(m_context->loop->Now());
  SetDirect(source.is_store());
  if (source.is_store())
    Watch();
  else
    AskPeer(source);
}

void StoreFollower::AskPeer(const FeedSource& source) {
  if (m_peer_client == nullptr || m_peer.address != source.address) {
    m_context->log->Info("feed_followed", {{"address", source.address},
                                           {"direct_only", source.direct_only},
                                           {"revision", m_revision.value()}});
    // The old client may be on the stack, in the callback that led here.
    m_last_peer_client = std::move(m_peer_client);
    m_peer_client =
        std::make_unique<StoreClient>(m_context->loop, source.address);
  }
  m_peer = source;
  m_peer_client->Call(
      FeedCall(m_revision, source.direct_only), kFeedTimeout,
      [this](std::optional<StoreReply> reply) { OnPeerReply(reply); });
}

void StoreFollower::OnDeafWatch() {
  if (!m_client.Cancel())
    return;
  m_choice->OnStoreFailure(m_context->loop->Now());
  m_short_watches = kStoreShortWatchCount;
  Later(Duration(0), &StoreFollower::Follow);
}

void StoreFollower::OnPeerFailure(const char* reason) {
  m_context->log->Warning("feed_failed", {{"address", m_peer.address},
                                          {"reason", reason},
                                          {"revision", m_revision.value()}});
  m_short_watches = kStoreShortWatchCount;
  // Until the store or another instance answers, this one knows nothing that
  // others could rely on.
  Lose("feed", 0);
  // A stand-in that fails is followed by the store, not by the next stand-in:
  // the store is more likely back than they are better informed.
  if (m_peer.direct_only)
    m_choice->OnStoreSuccess();
  // What the other instance lost may come back the next moment; if all came at
  // once, the store would see a burst.
  Later(Jittered(kStoreBackoff), &StoreFollower::Follow);
}

void StoreFollower::OnPeerReply(const std::optional<StoreReply>& reply) {
  const TimePoint now = m_context->loop->Now();
  if (!reply) {
    m_choice->OnFailure(m_peer.address, now);
    OnPeerFailure("no reply");
    return;
  }
  FeedReply feed;
  try {
    if (reply->status != kOk)
      throw std::runtime_error("status " + std::to_string(reply->status));
    feed = DecodeFeedReply(reply->body);
  } catch (const std::exception& error) {
    // Status 410: the history of the other instance starts later.
    m_choice->OnUninformed(m_peer.address, now);
    OnPeerFailure(error.what());
    return;
  }
  Report(feed.changes, feed.revision);
  if (!feed.in_contact || (m_peer.direct_only && !feed.direct)) {
    m_choice->OnUninformed(m_peer.address, now);
    OnPeerFailure("it has lost the store");
    return;
  }
  m_choice->OnSuccess(m_peer.address);
  OnAnswered();
  Follow();
}

void StoreFollower::Report(const std::vector<StoreItem>& changes,
                           Revision revision) {
  for (const StoreItem& item : changes)
    m_events.on_change(item);
  m_revision = std::max(m_revision, revision);
  m_check.SetRevision(m_revision);
  m_events.on_caught_up(m_revision);
}

void StoreFollower::Watch() {
  Duration wait = kStoreWatchWait;
  if (m_short_watches > 0) {
    --m_short_watches;
    wait = kStoreShortWatchWait;
  } else if (m_choice->Witnesses(m_context->loop->Now()).empty()) {
    wait = kUncheckedWatchWait;
  }
  m_client.Call(m_codec->Watch("", m_revision, wait), wait + kStoreWatchGrace,
                [this](std::optional<StoreReply> reply) { OnEvents(reply); });
}

void StoreFollower::OnEvents(const std::optional<StoreReply>& reply) {
  if (reply && m_codec->IsCompacted(reply->status)) {
    m_context->log->Warning("store_history_gone",
                            {{"revision", m_revision.value()}});
    m_context->metrics->CountStoreCall("watch", "compacted");
    Later(kRelistDelay, &StoreFollower::List);
    return;
  }
  if (!reply || reply->status != kOk) {
    m_choice->OnStoreFailure(m_context->loop->Now());
    Retry("watch", reply ? reply->status : 0, &StoreFollower::Follow);
    return;
  }
  StoreListing events;
  try {
    events = m_codec->DecodeEvents(reply->body);
  } catch (const std::exception& error) {
    m_context->log->Warning("store_reply_invalid",
                            {{"call", "watch"}, {"reason", error.what()}});
    Retry("watch", reply->status, &StoreFollower::List);
    return;
  }
  OnAnswered();
  m_context->metrics->CountStoreCall("watch", "ok");
  m_choice->OnStoreSuccess();
  if (events.items.empty() && events.revision > m_revision) {
    // All keys are watched, so every new revision has its event: this watch
    // was opened in a gap of the history and heard nothing.
    m_context->log->Warning(
        "store_events_missed",
        {{"after", m_revision.value()}, {"revision", events.revision.value()}});
    List();
    return;
  }
  Report(events.items, events.revision);
  Later(m_rearm_delay, &StoreFollower::Follow);
}

}  // namespace wasabihook::gateway
