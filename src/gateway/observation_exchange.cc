#include "gateway/observation_exchange.h"

#include <stdexcept>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kFollowerTarget = "/fleet/follower/";
constexpr std::string_view kRootTarget = "/fleet/root/";

}  // namespace

bool IsObservationCall(std::string_view target) {
  return target.starts_with(kFollowerTarget) || target.starts_with(kRootTarget);
}

ObservationExchange::ObservationExchange(GatewayContext* context,
                                         FeedSelector* selector)
    : m_context(context),
      m_selector(selector),
      m_timer(context->loop->SubscribeEvery(kObservationPeriod,
                                            [this] { Exchange(); })) {}

ObservationExchange::~ObservationExchange() {
  m_context->loop->Unsubscribe(m_timer);
  if (m_early_timer)
    m_context->loop->Unsubscribe(*m_early_timer);
}

void ObservationExchange::ExchangeSoon() {
  if (m_early_timer)
    return;
  m_early_timer = m_context->loop->SubscribeOnce(kEarlyExchangeDelay, [this] {
    m_early_timer.reset();
    Exchange();
  });
}

void ObservationExchange::Observe(ServerKey server, bool bad) {
  m_fleet.local().Add(server, bad, m_context->loop->Now());
}

void ObservationExchange::Exchange() {
  const TimePoint now = m_context->loop->Now();
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.used_at > kObservationExpiry &&
           !entry.second.client->busy();
  });
  const FeedSource source = m_selector->Select(now);
  m_root = source.is_store() || source.direct_only;
  if (!m_root) {
    Send(source.address, false);
  } else {
    // Each root asks all others for their observations. Crashes are also sent,
    // since they must spread faster.
    for (const std::string& address : m_selector->RemoteFeeds(now))
      Send(address, true);
  }
  UpdateResults();
}

void ObservationExchange::AddNews(FleetMessage& message,
                                  bool all,
                                  TimePoint now) const {
  const TimePoint since = all ? TimePoint() : now - kFleetNewsTime;
  message.crash_news = m_context->quarantine->NewsSince(since);
  message.limits = m_context->limits->NewsSince(since);
  message.leaving = m_context->leaving->NewsSince(since);
  message.allowance_marks = m_context->allowance_marks->NewsSince(since);
}

void ObservationExchange::MergeNews(const FleetMessage& message,
                                    TimePoint now) {
  m_context->quarantine->Merge(message.crash_news, now);
  if (const size_t changed = m_context->limits->Merge(message.limits, now);
      changed > 0)
    m_context->log->Info(
        "server_limits_received",
        {{"changed", changed}, {"limited", m_context->limits->limited()}});
  if (const size_t added = m_context->leaving->Merge(message.leaving, now);
      added > 0)
    m_context->metrics->CountLeaving("received", static_cast<double>(added));
  const std::vector<AllowanceMark> changed_marks =
      m_context->allowance_marks->Merge(message.allowance_marks, now);
  if (!changed_marks.empty()) {
    if (m_allowance_hook)
      m_allowance_hook(changed_marks);
    ExchangeSoon();
  }
}

void ObservationExchange::Send(const std::string& address, bool root) {
  const TimePoint now = m_context->loop->Now();
  Peer& peer = m_peers[address];
  if (peer.client == nullptr)
    peer.client = std::make_unique<StoreClient>(m_context->loop, address);
  peer.used_at = now;
  if (peer.client->busy())
    return;
  FleetMessage message;
  message.wants_all = now - peer.answered_at > kObservationExpiry;
  if (!root) {
    message.observations = m_fleet.Subtree(now);
    message.demand = Demand().Subtree(now);
    message.team_demand = m_context->team_demand->Subtree(now);
    message.paces = m_context->paces->Subtree(now);
  }
  AddNews(message, peer.wants_all, now);
  const std::string target(root ? kRootTarget : kFollowerTarget);
  peer.client->Call(
      {.method = "POST",
       .target = target + m_context->settings->instance.value(),
       .body = EncodeFleetMessage(message, now)},
      kObservationExpiry,
      [this, address, root](const std::optional<StoreReply>& reply) {
        if (!reply || reply->status != kOk)
          return;
        const TimePoint now = m_context->loop->Now();
        try {
          FleetMessage received = DecodeFleetMessage(reply->body, now);
          MergeNews(received, now);
          if (root) {
            m_fleet.tree().SetDataCentre(address,
                                         std::move(received.observations), now);
            Demand().tree().SetDataCentre(address, std::move(received.demand),
                                          now);
            m_context->team_demand->tree().SetDataCentre(
                address, std::move(received.team_demand), now);
            m_context->paces->tree().SetDataCentre(
                address, std::move(received.paces), now);
          } else {
            m_fleet.tree().SetResult(std::move(received.observations), now);
            Demand().tree().SetResult(std::move(received.demand), now);
            m_context->team_demand->tree().SetResult(
                std::move(received.team_demand), now);
            m_context->paces->tree().SetResult(std::move(received.paces), now);
          }
          if (const auto peer = m_peers.find(address); peer != m_peers.end()) {
            peer->second.answered_at = now;
            peer->second.wants_all = received.wants_all;
          }
        } catch (const std::exception& error) {
          m_context->log->Warning(
              "fleet_message_invalid",
              {{"address", address}, {"reason", error.what()}});
          return;
        }
        // A root merges all digests, which it does once in each period.
        if (!root)
          UpdateResults();
      });
}

std::string ObservationExchange::OnCall(std::string_view target,
                                        std::string_view body) {
  const TimePoint now = m_context->loop->Now();
  FleetMessage received = DecodeFleetMessage(body, now);
  FleetMessage reply;
  AddNews(reply, received.wants_all, now);
  MergeNews(received, now);
  if (target.starts_with(kRootTarget)) {
    reply.observations = m_fleet.Subtree(now);
    reply.demand = Demand().Subtree(now);
    reply.team_demand = m_context->team_demand->Subtree(now);
    reply.paces = m_context->paces->Subtree(now);
    return EncodeFleetMessage(reply, now);
  }
  const std::string follower(target.substr(kFollowerTarget.size()));
  // A follower that is new here may know of crashes from before.
  reply.wants_all = !m_fleet.tree().HasFollower(follower, now);
  m_fleet.tree().SetFollower(follower, std::move(received.observations), now);
  Demand().tree().SetFollower(follower, std::move(received.demand), now);
  m_context->team_demand->tree().SetFollower(
      follower, std::move(received.team_demand), now);
  m_context->paces->tree().SetFollower(follower, std::move(received.paces),
                                       now);
  reply.observations = m_outliers;
  reply.demand = Demand().Total(m_root, now);
  reply.team_demand = m_context->team_demand->Total(m_root, now);
  reply.paces = m_context->paces->Total(m_root, now);
  return EncodeFleetMessage(reply, now);
}

FleetDemand& ObservationExchange::Demand() {
  return m_context->limits->fleet_demand();
}

void ObservationExchange::UpdateResults() {
  const TimePoint now = m_context->loop->Now();
  m_context->limits->SetTotalDemand(Demand().Total(m_root, now), now);
  m_context->fair_shares->SetDemand(m_context->team_demand->Total(m_root, now));
  if (m_context->settings->learns_capacity)
    m_context->paces->SetFleet(m_context->paces->Total(m_root, now), now);
  ObservationDigest outliers = m_fleet.Outliers(m_root, now);
  if (outliers.size() != m_outliers.size())
    m_context->log->Info("outliers_changed", {{"from", m_outliers.size()},
                                              {"to", outliers.size()},
                                              {"root", m_root}});
  m_outliers = std::move(outliers);
}

}  // namespace wasabihook::gateway
