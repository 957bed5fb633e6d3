#include "gateway/revision_check.h"

#include <utility>

#include "gateway/change_feed.h"

namespace wasabihook::gateway {

bool DeafWatch::Observe(Revision elsewhere, Revision own, TimePoint now) {
  if (m_awaited && own >= m_awaited->revision)
    m_awaited.reset();
  if (!m_awaited) {
    if (elsewhere > own)
      m_awaited = {.revision = elsewhere, .since = now};
    return false;
  }
  return now - m_awaited->since >= m_patience;
}

RevisionCheck::RevisionCheck(GatewayContext* context,
                             FeedChoice* choice,
                             Duration patience,
                             std::function<void()> on_deaf)
    : m_context(context),
      m_choice(choice),
      m_on_deaf(std::move(on_deaf)),
      m_deaf(patience),
      m_timer(context->loop->SubscribeEvery(kRevisionCheckPeriod,
                                            [this] { Check(); })) {}

RevisionCheck::~RevisionCheck() {
  m_context->loop->Unsubscribe(m_timer);
}

void RevisionCheck::SetActive(bool active) {
  if (active != m_active)
    m_deaf.Reset();
  m_active = active;
}

void RevisionCheck::Check() {
  if (!m_active || (m_client != nullptr && m_client->busy()))
    return;
  const std::vector<std::string> witnesses =
      m_choice->Witnesses(m_context->loop->Now());
  if (witnesses.empty())
    return;
  // In turn, since the watch of the one asked may be deaf as well.
  m_address = witnesses[m_turn++ % witnesses.size()];
  std::unique_ptr<StoreClient>& client = m_clients[m_address];
  if (client == nullptr)
    client = std::make_unique<StoreClient>(m_context->loop, m_address);
  m_client = client.get();
  m_client->Call(
      RevisionCall(), kFeedTimeout,
      [this](const std::optional<StoreReply>& reply) { OnReply(reply); });
}

void RevisionCheck::OnReply(const std::optional<StoreReply>& reply) {
  const TimePoint now = m_context->loop->Now();
  if (!reply) {
    m_choice->OnFailure(m_address, now);
    return;
  }
  try {
    const FeedReply state = DecodeFeedReply(reply->body);
    if (state.in_contact)
      m_choice->OnSuccess(m_address);
    if (!m_active || !state.in_contact ||
        !m_deaf.Observe(state.revision, m_revision, now))
      return;
    m_choice->OnBetterInformed(m_address);
    GiveUp(state.revision, m_address);
  } catch (const std::exception& error) {
    m_context->log->Warning("feed_invalid",
                            {{"address", m_address}, {"reason", error.what()}});
    m_choice->OnFailure(m_address, now);
  }
}

void RevisionCheck::Observe(Revision revision) {
  if (m_active && m_deaf.Observe(revision, m_revision, m_context->loop->Now()))
    GiveUp(revision, m_context->settings->store_address);
}

void RevisionCheck::GiveUp(Revision elsewhere, const std::string& address) {
  m_context->log->Warning("watch_deaf", {{"revision", m_revision.value()},
                                         {"elsewhere", elsewhere.value()},
                                         {"address", address}});
  m_deaf.Reset();
  m_on_deaf();
}

}  // namespace wasabihook::gateway
