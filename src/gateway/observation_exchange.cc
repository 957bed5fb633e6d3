#include "gateway/observation_exchange.h"

#include <stdexcept>
#include <utility>

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kFollowerTarget = "/observations/follower/";
constexpr std::string_view kRootTarget = "/observations/root/";

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
    Send(source.address, false, EncodeObservations(m_fleet.Subtree(now)));
  } else {
    // Each root asks all others, so nothing needs to be sent along.
    for (const std::string& address : m_selector->RemoteFeeds(now))
      Send(address, true, "");
  }
  UpdateOutliers();
}

void ObservationExchange::Send(const std::string& address,
                               bool root,
                               const std::string& body) {
  Peer& peer = m_peers[address];
  if (peer.client == nullptr)
    peer.client = std::make_unique<StoreClient>(m_context->loop, address);
  peer.used_at = m_context->loop->Now();
  if (peer.client->busy())
    return;
  const std::string target(root ? kRootTarget : kFollowerTarget);
  peer.client->Call(
      {.method = "POST",
       .target = target + m_context->settings->instance.value(),
       .body = body},
      kObservationExpiry,
      [this, address, root](const std::optional<StoreReply>& reply) {
        if (!reply || reply->status != kOk)
          return;
        const TimePoint now = m_context->loop->Now();
        try {
          ObservationDigest digest = DecodeObservations(reply->body);
          if (root)
            m_fleet.SetDataCentre(address, std::move(digest), now);
          else
            m_fleet.SetOutliers(std::move(digest), now);
        } catch (const std::exception& error) {
          m_context->log->Warning(
              "observations_invalid",
              {{"address", address}, {"reason", error.what()}});
          return;
        }
        // A root merges all digests, which it does once in each period.
        if (!root)
          UpdateOutliers();
      });
}

std::string ObservationExchange::OnCall(std::string_view target,
                                        std::string_view body) {
  const TimePoint now = m_context->loop->Now();
  ObservationDigest digest = DecodeObservations(body);
  if (target.starts_with(kRootTarget))
    return EncodeObservations(m_fleet.Subtree(now));
  m_fleet.SetFollower(std::string(target.substr(kFollowerTarget.size())),
                      std::move(digest), now);
  return EncodeObservations(m_outliers);
}

void ObservationExchange::UpdateOutliers() {
  ObservationDigest outliers = m_fleet.Outliers(m_root, m_context->loop->Now());
  if (outliers.size() != m_outliers.size())
    m_context->log->Info("outliers_changed", {{"from", m_outliers.size()},
                                              {"to", outliers.size()},
                                              {"root", m_root}});
  m_outliers = std::move(outliers);
}

}  // namespace wasabihook::gateway
