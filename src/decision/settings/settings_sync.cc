#include "decision/settings/settings_sync.h"

#include <algorithm>
#include <utility>

#include "decision/routing/rendezvous.h"

namespace wasabihook {
namespace {

WatcherRank CurrentRank(const Membership& membership,
                        const SettingsRegistry& registry) {
  return RankWatchers(*membership.Members(), membership.self(),
                      registry.Fleet()->watchers_per_data_centre);
}

double CallRate(const Membership& membership,
                const SettingsRegistry& registry) {
  // Half of the rate is reserved for the watchers; the other half is divided
  // among all instances for their reads at startup.
  const auto fleet = registry.Fleet();
  const double half = fleet->platform_calls_per_second / 2.0;
  const WatcherRank rank = CurrentRank(membership, registry);
  const double share =
      half / static_cast<double>(std::max<size_t>(1, rank.live));
  return rank.rank < fleet->watchers_per_data_centre
             ? share + half / fleet->watchers_per_data_centre
             : share;
}

}  // namespace

WatcherRank RankWatchers(const std::vector<Member>& members,
                         const PeerIdentity& self,
                         size_t watchers) {
  std::vector<std::string> candidates;
  std::vector<std::string> addresses;
  size_t self_index = 0;
  for (const Member& member : members) {
    const PeerIdentity& identity = member.identity;
    if (member.state != MemberState::kLive ||
        identity.data_centre != self.data_centre) {
      continue;
    }
    if (identity.address == self.address) {
      self_index = candidates.size();
    }
    candidates.push_back(identity.address + '/' +
                         std::to_string(identity.incarnation.value()));
    addresses.push_back(identity.address);
  }
  // The instances ranked after the watchers, as many again, are their standbys.
  const auto order = RendezvousTopK("watch/" + self.data_centre.value(),
                                    candidates, 2 * watchers);
  WatcherRank result;
  result.live = candidates.size();
  result.rank = static_cast<size_t>(
      std::find(order.begin(), order.end(), self_index) - order.begin());
  for (size_t i = 0; i < std::min(watchers, order.size()); ++i) {
    result.watchers.push_back(addresses[order[i]]);
  }
  return result;
}

SettingsSync::SettingsSync(SettingsSyncDeps deps) : m_deps(std::move(deps)) {
  const std::shared_ptr<Membership> membership = m_deps.membership;
  SettingsRegistry* const registry = m_deps.registry;
  m_watch = StoreWatch::Create(
      {.timers = m_deps.timers,
       .store = m_deps.store,
       .registry = registry,
       .random = m_deps.random,
       .is_watcher = [membership, registry] {
         // A leaving instance is not a candidate, so its rank is meaningless.
         return !membership->leaving() &&
                CurrentRank(*membership, *registry).rank <
                    registry->Fleet()->watchers_per_data_centre;
       }});
  m_exchange = PeerExchange::Create(
      {.timers = m_deps.timers,
       .transport = m_deps.transport,
       .registry = registry,
       .membership = membership,
       .random = m_deps.random,
       .seed_peers = m_deps.seed_peers,
       // Standbys call the watchers often, so that they detect the loss of a
       // watcher early.
       .preferred_peers = [membership, registry]() -> std::vector<std::string> {
         const size_t watchers = registry->Fleet()->watchers_per_data_centre;
         const WatcherRank rank = CurrentRank(*membership, *registry);
         const bool standby = rank.rank >= watchers && rank.rank < 2 * watchers;
         return standby ? rank.watchers : std::vector<std::string>();
       },
       .notices =
           m_deps.notices ? m_deps.notices : [] { return PeerNotices{}; },
       .on_notices = m_deps.on_notices
                         ? m_deps.on_notices
                         : [](const PeerNotices&) { return false; }});
  m_settings_subscription = registry->Subscribe(
      [weak = std::weak_ptr(m_exchange), watch = std::weak_ptr(m_watch),
       membership, registry](const SettingsChange& change) {
        if (auto exchange = weak.lock()) {
          exchange->NotifyPeers();
        }
        if (auto store_watch = watch.lock(); store_watch && change.fleet) {
          store_watch->SetCallRate(CallRate(*membership, *registry));
          membership->SetListPeriod(change.fleet->instance_list_period);
        }
      });
  m_members_subscription =
      membership->Subscribe([watch = std::weak_ptr(m_watch),
                             weak_membership = std::weak_ptr(membership),
                             registry](const MembershipCounts&) {
        const auto store_watch = watch.lock();
        const auto members = weak_membership.lock();
        if (store_watch && members) {
          store_watch->SetCallRate(CallRate(*members, *registry));
        }
      });
}

SettingsSync::~SettingsSync() {
  m_deps.registry->Unsubscribe(m_settings_subscription);
  m_deps.membership->Unsubscribe(m_members_subscription);
}

void SettingsSync::Start() {
  m_watch->SetCallRate(CallRate(*m_deps.membership, *m_deps.registry));
  m_watch->Start();
  m_exchange->Start();
}

PeerResponse SettingsSync::Handle(const PeerRequest& request) {
  return m_exchange->Handle(request);
}

void SettingsSync::NotifyPeers() {
  m_exchange->NotifyPeers();
}

SettingsSyncStatus SettingsSync::Status() const {
  return {m_watch->watching(), m_watch->StoreAge(), m_exchange->PeerAge()};
}

}  // namespace wasabihook
