#ifndef SRC_DECISION_MEMBERSHIP_MEMBERSHIP_H_
#define SRC_DECISION_MEMBERSHIP_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "decision/membership/backoff.h"
#include "decision/membership/member_table.h"
#include "wasabihook/config.h"
#include "wasabihook/platform.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

struct MembershipCounts {
  uint32_t live = 0;
  // Instances that may still use the connections of backend servers: live,
  // leaving and suspect ones. Divide connections by this.
  uint32_t sharing = 0;
  // Live instances in the data centre of this one, itself included.
  uint32_t live_in_data_centre = 0;
  friend bool operator==(const MembershipCounts&,
                         const MembershipCounts&) = default;
};

// Immutable list of members; `last_message_at` may be older than known.
using MembersPtr = std::shared_ptr<const std::vector<Member>>;

// All pointers outlive the Membership.
struct MembershipDeps {
  TimerService* timers = nullptr;
  InstanceList* list = nullptr;
  RandomSource random;
  PeerIdentity self;
  Duration list_period = config::kInstanceListPeriod;
};

// Instances of the deployment: the platform's list, which lags, corrected by
// peers and connections. Announces this instance. Thread-safe.
class Membership : public std::enable_shared_from_this<Membership> {
 public:
  using Subscriber = std::function<void(const MembershipCounts&)>;

  static std::shared_ptr<Membership> Create(MembershipDeps deps);

  // Announces this instance and starts to read the list. Nothing runs after
  // the last reference is gone.
  void Start();
  // Announces that this instance is leaving until the platform has it. `done`
  // is called once, when the platform has it.
  void Leave(std::function<void()> done);
  // Time between two reads of the list; grows with the number of instances.
  void SetListPeriod(Duration period);

  void ObserveMessage(const PeerIdentity& from, bool leaving);
  void ObserveUnreachable(const std::string& address);

  // Without those gone; this instance first.
  MembersPtr Members() const;
  MembershipCounts Counts() const;
  PeerIdentity self() const { return m_deps.self; }
  bool leaving() const;
  // Age of the latest list; empty if none was read.
  std::optional<Duration> ListAge() const;

  // Called without locks when the counts change.
  SubscriptionHandle Subscribe(Subscriber subscriber);
  void Unsubscribe(SubscriptionHandle handle);

 private:
  explicit Membership(MembershipDeps deps);

  void ReadList();
  void OnListRead(const InstanceListResult& result);
  void Announce();
  void OnAnnounced(StoreStatus status, bool as_leaving);
  Duration ListPeriodLocked() const;
  Duration AnnouncePeriodLocked() const;
  // Rebuilds the list and the counts if a member changed.
  void RefreshLocked();
  // Notifies subscribers if the counts differ from those notified last.
  void Publish();
  void RunAfter(Duration delay, void (Membership::*method)());

  const MembershipDeps m_deps;
  mutable std::mutex m_mutex;
  MemberTable m_table;
  Duration m_list_period;
  std::optional<TimePoint> m_list_at;
  Backoff m_list_backoff;
  Backoff m_announce_backoff;
  std::vector<std::function<void()>> m_leave_callbacks;
  uint64_t m_version = 0;  // Of the table, for the two below.
  MembersPtr m_members;
  MembershipCounts m_counts;
  MembershipCounts m_published;
  uint64_t m_next_subscriber = 1;
  std::map<uint64_t, std::shared_ptr<const Subscriber>> m_subscribers;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_MEMBERSHIP_MEMBERSHIP_H_
