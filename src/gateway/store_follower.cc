#include "gateway/store_follower.h"

#include <algorithm>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
// Pause before the keys are listed again after a gap in the history; bounds
// the calls if the store keeps dropping it.
constexpr Duration kRelistDelay = std::chrono::milliseconds(300);

}  // namespace

StoreFollower::StoreFollower(GatewayContext* context,
                             const StoreCodec* codec,
                             Duration rearm_delay,
                             StoreEvents events)
    : m_context(context),
      m_codec(codec),
      m_rearm_delay(rearm_delay),
      m_events(std::move(events)),
      m_client(context->loop, context->settings->store_address) {}

StoreFollower::~StoreFollower() {
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
  if (m_in_contact)
    return;
  m_in_contact = true;
  m_context->log->Info("store_regained", {});
  m_events.on_regained();
}

void StoreFollower::Retry(const char* call,
                          int status,
                          void (StoreFollower::*step)()) {
  m_context->metrics->CountStoreCall(call, status == 0 ? "lost" : "refused");
  if (m_in_contact) {
    m_in_contact = false;
    m_context->log->Warning("store_lost", {{"call", call},
                                           {"status", status},
                                           {"revision", m_revision.value()}});
    m_events.on_lost();
  }
  m_backoff = std::clamp(m_backoff * 2, kStoreBackoff, kStoreMaxBackoff);
  // Half of the delay is random, so that instances do not return together.
  const auto delay = Duration(static_cast<int64_t>(
      static_cast<double>(m_backoff.count()) * (0.5 + m_context->Uniform())));
  Later(delay, step);
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
  m_events.on_listing(m_items, m_revision);
  m_items.clear();
  m_items.shrink_to_fit();
  m_listed_once = true;
  Watch();
}

void StoreFollower::Watch() {
  m_client.Call(m_codec->Watch("", m_revision, kStoreWatchWait),
                kStoreWatchWait + kStoreWatchGrace,
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
    Retry("watch", reply ? reply->status : 0, &StoreFollower::Watch);
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
  for (const StoreItem& item : events.items)
    m_events.on_change(item);
  m_revision = std::max(m_revision, events.revision);
  Later(m_rearm_delay, &StoreFollower::Watch);
}

}  // namespace wasabihook::gateway
