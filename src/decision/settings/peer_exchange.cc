#include "decision/settings/peer_exchange.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include "decision/membership/backoff.h"
#include "wasabihook/config.h"

namespace wasabihook {

std::shared_ptr<PeerExchange> PeerExchange::Create(PeerExchangeDeps deps) {
  return std::shared_ptr<PeerExchange>(new PeerExchange(std::move(deps)));
}

PeerExchange::PeerExchange(PeerExchangeDeps deps) : m_deps(std::move(deps)) {}

void PeerExchange::Start() {
  RunDigestRound();
}

void PeerExchange::RunAfter(Duration delay, void (PeerExchange::*method)()) {
  m_deps.timers->SubscribeOnce(delay, [weak = weak_from_this(), method] {
    if (auto self = weak.lock()) {
      (self.get()->*method)();
    }
  });
}

std::optional<Duration> PeerExchange::PeerAge() const {
  std::lock_guard lock(m_mutex);
  if (!m_answered_at) {
    return std::nullopt;
  }
  return m_deps.timers->Now() - *m_answered_at;
}

void PeerExchange::RunDigestRound() {
  for (const std::string& address : ChooseDigestTargets()) {
    ExchangeDigest(address);
  }
  RunAfter(Jittered(m_deps.registry->Fleet()->digest_period, m_deps.random),
           &PeerExchange::RunDigestRound);
}

std::vector<std::string> PeerExchange::ChooseDigestTargets() {
  uint64_t round = 0;
  {
    std::lock_guard lock(m_mutex);
    round = ++m_round_count;
  }
  std::set<std::string> targets;
  const std::vector<std::string> local_peers = Peers(true);
  const std::vector<std::string> preferred = m_deps.preferred_peers();
  targets.insert(
      PickOne(!preferred.empty() && round % 2 == 0 ? preferred : local_peers));
  targets.insert(PickOne(Peers(false)));
  targets.erase("");
  if (targets.empty() || round % config::kSuspectProbePeriod == 0) {
    targets.insert(PickOne(Suspects()));
    targets.erase("");
  }
  if (targets.empty()) {
    targets.insert(PickOne(m_deps.seed_peers));
    targets.erase("");
  }
  return {targets.begin(), targets.end()};
}

std::vector<std::string> PeerExchange::Peers(bool same_data_centre) const {
  std::vector<std::string> addresses;
  const PeerIdentity self = m_deps.membership->self();
  const MembersPtr members = m_deps.membership->Members();
  for (const auto& [identity, state, last_message_at] : *members) {
    if (state == MemberState::kLive && identity.address != self.address &&
        (identity.data_centre == self.data_centre) == same_data_centre) {
      addresses.push_back(identity.address);
    }
  }
  return addresses;
}

std::vector<std::string> PeerExchange::Suspects() const {
  std::vector<std::string> addresses;
  const MembersPtr members = m_deps.membership->Members();
  for (const Member& member : *members) {
    if (member.state == MemberState::kSuspect) {
      addresses.push_back(member.identity.address);
    }
  }
  return addresses;
}

std::string PeerExchange::PickOne(
    const std::vector<std::string>& addresses) const {
  return addresses.empty() ? "" : addresses[m_deps.random() % addresses.size()];
}

void PeerExchange::NotifyPeers() {
  Duration delay = Jittered(config::kNotifyDelay, m_deps.random);
  {
    std::lock_guard lock(m_mutex);
    if (m_notify_scheduled) {
      return;
    }
    m_notify_scheduled = true;
    const Duration since = m_deps.timers->Now() - m_last_notified_at;
    delay = std::max(delay, config::kMinNotifyInterval - since);
  }
  RunAfter(delay, &PeerExchange::SendNotifications);
}

void PeerExchange::SendNotifications() {
  {
    std::lock_guard lock(m_mutex);
    m_notify_scheduled = false;
    m_last_notified_at = m_deps.timers->Now();
  }
  const std::vector<std::string> local_peers = Peers(true);
  std::set<std::string> targets = {PickOne(Peers(false))};
  for (uint32_t i = 1; i < config::kNotifyFanout; ++i) {
    targets.insert(PickOne(local_peers));
  }
  targets.erase("");
  for (const std::string& address : targets) {
    ExchangeDigest(address);
  }
}

DigestRequest PeerExchange::MakeDigest() const {
  DigestRequest digest;
  digest.from = m_deps.membership->self();
  digest.settings_hash = m_deps.registry->Hash();
  digest.greatest_revision = m_deps.registry->GreatestRevision();
  digest.leaving = m_deps.membership->leaving();
  PeerNotices notices = m_deps.notices();
  notices.quarantine.resize(
      std::min(notices.quarantine.size(), config::kMaxPeerNotices));
  notices.draining_servers.resize(
      std::min(notices.draining_servers.size(), config::kMaxPeerNotices));
  digest.quarantine = std::move(notices.quarantine);
  digest.draining_servers = std::move(notices.draining_servers);
  return digest;
}

void PeerExchange::ExchangeDigest(const std::string& address) {
  {
    std::lock_guard lock(m_mutex);
    const auto [it, started] = m_exchanging.try_emplace(address, false);
    if (!started) {
      it->second = true;
      return;
    }
  }
  m_deps.transport->Call(address, MakeDigest(),
                         [weak = weak_from_this(), address](
                             const std::optional<PeerResponse>& response) {
                           if (auto self = weak.lock()) {
                             self->OnDigestResponse(address, response);
                           }
                         });
}

void PeerExchange::OnCallFinished(const std::string& address, bool answered) {
  if (answered) {
    std::lock_guard lock(m_mutex);
    m_answered_at = m_deps.timers->Now();
  } else {
    m_deps.membership->ObserveUnreachable(address);
    std::lock_guard lock(m_mutex);
    m_requested_revision = Revision(0);
  }
}

void PeerExchange::FinishExchange(const std::string& address) {
  bool again = false;
  {
    std::lock_guard lock(m_mutex);
    again = m_exchanging.extract(address).mapped();
  }
  if (again) {
    ExchangeDigest(address);
  }
}

void PeerExchange::OnDigestResponse(
    const std::string& address,
    const std::optional<PeerResponse>& response) {
  const auto* digest =
      response ? std::get_if<DigestResponse>(&*response) : nullptr;
  OnCallFinished(address, digest != nullptr);
  PullRequest pull;
  if (digest != nullptr) {
    m_deps.membership->ObserveMessage(digest->from, false);
    std::set<std::string> wanted;
    for (const SubtreeRevision& offered : digest->revisions) {
      if (m_deps.registry->Wants(offered)) {
        wanted.insert(offered.subtree);
      }
    }
    pull = {m_deps.membership->self(), {wanted.begin(), wanted.end()}};
  }
  if (pull.subtrees.empty()) {
    FinishExchange(address);
    return;
  }
  m_deps.transport->Call(address, std::move(pull),
                         [weak = weak_from_this(),
                          address](const std::optional<PeerResponse>& pulled) {
                           if (auto self = weak.lock()) {
                             self->OnPulled(address, pulled);
                           }
                         });
}

void PeerExchange::OnPulled(const std::string& address,
                            const std::optional<PeerResponse>& response) {
  const auto* pulled =
      response ? std::get_if<PullResponse>(&*response) : nullptr;
  OnCallFinished(address, pulled != nullptr);
  if (pulled != nullptr) {
    for (const PulledSubtree& entry : pulled->subtrees) {
      m_deps.registry->Offer(entry.subtree, entry.revision, entry.text,
                             SettingsSource::kPeer);
    }
  }
  FinishExchange(address);
}

PeerResponse PeerExchange::Handle(const PeerRequest& request) {
  if (const auto* digest = std::get_if<DigestRequest>(&request)) {
    m_deps.membership->ObserveMessage(digest->from, digest->leaving);
    if (!digest->quarantine.empty() || !digest->draining_servers.empty()) {
      if (m_deps.on_notices({digest->quarantine, digest->draining_servers})) {
        NotifyPeers();
      }
    }
    DigestResponse response = HandleDigest(*digest);
    PullFromSender(*digest);
    return response;
  }
  if (const auto* pull = std::get_if<PullRequest>(&request)) {
    m_deps.membership->ObserveMessage(pull->from, false);
    return HandlePull(*pull);
  }
  throw std::invalid_argument("peer request is neither a digest nor a pull");
}

DigestResponse PeerExchange::HandleDigest(const DigestRequest& digest) {
  DigestResponse response{m_deps.membership->self(), {}};
  if (digest.settings_hash == m_deps.registry->Hash()) {
    return response;
  }
  response.revisions = m_deps.registry->Revisions();
  const bool sender_is_behind =
      digest.greatest_revision < m_deps.registry->GreatestRevision();
  if (sender_is_behind &&
      m_deps.random() % config::kFullDigestResponsePeriod != 0) {
    std::erase_if(response.revisions, [&](const SubtreeRevision& entry) {
      return entry.revision <= digest.greatest_revision;
    });
  }
  return response;
}

void PeerExchange::PullFromSender(const DigestRequest& digest) {
  if (digest.greatest_revision <= m_deps.registry->GreatestRevision()) {
    return;
  }
  {
    std::lock_guard lock(m_mutex);
    const TimePoint now = m_deps.timers->Now();
    // Several peers announce the same revision at about the same time; one
    // exchange is enough.
    if (digest.greatest_revision <= m_requested_revision &&
        now - m_requested_at < config::kPeerCallTimeout) {
      return;
    }
    m_requested_revision = digest.greatest_revision;
    m_requested_at = now;
  }
  ExchangeDigest(digest.from.address);
}

PullResponse PeerExchange::HandlePull(const PullRequest& pull) {
  std::vector<PulledSubtree> entries;
  for (const std::string& subtree : pull.subtrees) {
    for (PulledSubtree& entry : m_deps.registry->Texts(subtree)) {
      entries.push_back(std::move(entry));
    }
  }
  // Sorted by revision, so that a truncated response leaves no gap below the
  // greatest revision.
  std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) {
    return a.revision < b.revision;
  });
  PullResponse response;
  size_t bytes = 0;
  for (PulledSubtree& entry : entries) {
    bytes += entry.text.size();
    if (!response.subtrees.empty() && bytes > config::kMaxPulledBytes) {
      break;
    }
    response.subtrees.push_back(std::move(entry));
  }
  return response;
}

}  // namespace wasabihook
