#include "decision/membership/membership.h"

#include <algorithm>
#include <utility>

namespace wasabihook {

std::shared_ptr<Membership> Membership::Create(MembershipDeps deps) {
  return std::shared_ptr<Membership>(new Membership(std::move(deps)));
}

Membership::Membership(MembershipDeps deps)
    : m_deps(std::move(deps)),
      m_table(m_deps.self),
      m_list_period(m_deps.list_period),
      m_list_backoff(config::kPlatformBackoff, config::kPlatformMaxBackoff),
      m_announce_backoff(config::kPlatformBackoff, config::kPlatformMaxBackoff),
      m_published{1, 1, 1} {
  RefreshLocked();
}

void Membership::Start() {
  Announce();
  ReadList();
}

void Membership::Leave(std::function<void()> done) {
  {
    std::lock_guard lock(m_mutex);
    m_table.SetSelfLeaving();
    m_leave_callbacks.push_back(std::move(done));
  }
  Publish();
  Announce();
}

void Membership::SetListPeriod(Duration period) {
  std::lock_guard lock(m_mutex);
  m_list_period = period;
}

void Membership::RunAfter(Duration delay, void (Membership::*method)()) {
  m_deps.timers->SubscribeOnce(delay, [weak = weak_from_this(), method] {
    if (auto self = weak.lock()) {
      (self.get()->*method)();
    }
  });
}

void Membership::ReadList() {
  m_deps.list->ListInstances(
      [weak = weak_from_this()](const InstanceListResult& result) {
        if (auto self = weak.lock()) {
          self->OnListRead(result);
        }
      });
}

void Membership::OnListRead(const InstanceListResult& result) {
  Duration delay{0};
  {
    std::lock_guard lock(m_mutex);
    const TimePoint now = m_deps.timers->Now();
    if (result.status == StoreStatus::kOk) {
      m_table.OnList(result.instances, now);
      m_list_at = now;
      m_list_backoff.Reset();
      delay = Jittered(ListPeriodLocked(), m_deps.random);
    } else {
      delay = std::max(m_list_backoff.Next(m_deps.random),
                       Jittered(ListPeriodLocked(), m_deps.random));
    }
    m_table.Expire(now);
  }
  Publish();
  RunAfter(delay, &Membership::ReadList);
}

void Membership::Announce() {
  ListedInstance self;
  {
    std::lock_guard lock(m_mutex);
    self = {
        m_deps.self.instance, m_deps.self.address, m_deps.self.data_centre,
        m_deps.self.incarnation,
        m_table.self_leaving() ? ListedState::kLeaving : ListedState::kLive};
  }
  const bool leaving = self.state == ListedState::kLeaving;
  m_deps.list->Announce(std::move(self),
                        [weak = weak_from_this(), leaving](StoreStatus status) {
                          if (auto self = weak.lock()) {
                            self->OnAnnounced(status, leaving);
                          }
                        });
}

void Membership::OnAnnounced(StoreStatus status, bool as_leaving) {
  Duration delay{0};
  std::vector<std::function<void()>> leave_callbacks;
  {
    std::lock_guard lock(m_mutex);
    if (m_table.self_leaving() && !as_leaving) {
      return;  // Leave() has started its own sequence of announcements.
    }
    if (status == StoreStatus::kOk) {
      m_announce_backoff.Reset();
      delay = Jittered(AnnouncePeriodLocked(), m_deps.random);
      if (as_leaving) {
        leave_callbacks.swap(m_leave_callbacks);
      }
    } else {
      delay = m_announce_backoff.Next(m_deps.random);
    }
  }
  for (const auto& done : leave_callbacks) {
    if (done) {
      done();
    }
  }
  RunAfter(delay, &Membership::Announce);
}

Duration Membership::ListPeriodLocked() const {
  const size_t bytes = m_table.size() * config::kListedInstanceBytes;
  const Duration by_traffic(static_cast<int64_t>(
      bytes * std::chrono::microseconds(std::chrono::seconds(1)).count() /
      config::kInstanceListBytesPerSecond));
  return std::max(m_list_period, by_traffic);
}

Duration Membership::AnnouncePeriodLocked() const {
  const double seconds =
      static_cast<double>(m_table.size()) / config::kMaxAnnouncementsPerSecond;
  return std::max(config::kAnnouncePeriod,
                  std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds)));
}

void Membership::ObserveMessage(const PeerIdentity& from, bool leaving) {
  {
    std::lock_guard lock(m_mutex);
    m_table.OnMessage(from, leaving, m_deps.timers->Now());
  }
  Publish();
}

void Membership::ObserveUnreachable(const std::string& address) {
  {
    std::lock_guard lock(m_mutex);
    m_table.OnUnreachable(address, m_deps.timers->Now());
  }
  Publish();
}

MembersPtr Membership::Members() const {
  std::lock_guard lock(m_mutex);
  return m_members;
}

MembershipCounts Membership::Counts() const {
  std::lock_guard lock(m_mutex);
  return m_counts;
}

void Membership::RefreshLocked() {
  if (m_version == m_table.version()) {
    return;
  }
  m_version = m_table.version();
  m_members = std::make_shared<const std::vector<Member>>(m_table.Members());
  m_counts = {};
  for (const Member& member : *m_members) {
    ++m_counts.sharing;
    if (member.state == MemberState::kLive) {
      ++m_counts.live;
      m_counts.live_in_data_centre +=
          member.identity.data_centre == m_deps.self.data_centre ? 1 : 0;
    }
  }
}

bool Membership::leaving() const {
  std::lock_guard lock(m_mutex);
  return m_table.self_leaving();
}

std::optional<Duration> Membership::ListAge() const {
  std::lock_guard lock(m_mutex);
  if (!m_list_at) {
    return std::nullopt;
  }
  return m_deps.timers->Now() - *m_list_at;
}

SubscriptionHandle Membership::Subscribe(Subscriber subscriber) {
  std::lock_guard lock(m_mutex);
  const uint64_t id = m_next_subscriber++;
  m_subscribers[id] = std::make_shared<const Subscriber>(std::move(subscriber));
  return SubscriptionHandle(id);
}

void Membership::Unsubscribe(SubscriptionHandle handle) {
  std::lock_guard lock(m_mutex);
  m_subscribers.erase(handle.value());
}

void Membership::Publish() {
  std::vector<std::shared_ptr<const Subscriber>> subscribers;
  MembershipCounts counts;
  {
    std::lock_guard lock(m_mutex);
    RefreshLocked();
    counts = m_counts;
    if (counts == m_published) {
      return;
    }
    m_published = counts;
    for (const auto& [id, subscriber] : m_subscribers) {
      subscribers.push_back(subscriber);
    }
  }
  for (const auto& subscriber : subscribers) {
    (*subscriber)(counts);
  }
}

}  // namespace wasabihook
