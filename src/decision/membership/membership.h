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
  // Instances that may hold connections to backend servers: live, leaving and
  // suspect ones. Connection limits of servers are divided by this number.
  uint32_t sharing = 0;
  // Live instances in the data centre of this instance, including itself.
  uint32_t live_in_data_centre = 0;
  friend bool operator==(const MembershipCounts&,
                         const MembershipCounts&) = default;
};

// Immutable list of members. It is not rebuilt for each message, so
// `last_message_at` may be out of date.
using MembersPtr = std::shared_ptr<const std::vector<Member>>;

// All pointers outlive the Membership.
struct MembershipDeps {
  TimerService* timers = nullptr;
  InstanceList* list = nullptr;
  RandomSource random;
  PeerIdentity self;
  Duration list_period = config::kInstanceListPeriod;
};

// Tracks the instances of the deployment: the platform's list, which lags, is
// corrected by messages from peers and failed calls to them. Also announces
// this instance to the platform. Thread-safe.
class Membership : public std::enable_shared_from_this<Membership> {
 public:
  using Subscriber = std::function<void(const MembershipCounts&)>;

  static std::shared_ptr<Membership> Create(MembershipDeps deps);

  // Announces this instance and starts reading the list periodically. Timers
  // and callbacks do nothing once the last reference is released.
  void Start();
  // Announces that this instance is leaving, and retries until the platform has
  // accepted the announcement. Then calls `done` once.
  void Leave(std::function<void()> done);
  // Sets the least time between two reads of the list; the actual time grows
  // with the number of instances.
  void SetListPeriod(Duration period);

  void ObserveMessage(const PeerIdentity& from, bool leaving);
  void ObserveUnreachable(const std::string& address);

  // This instance first; removed instances are not included.
  MembersPtr Members() const;
  MembershipCounts Counts() const;
  PeerIdentity self() const { return m_deps.self; }
  bool leaving() const;
  // Time since the list was last read; empty if it never was.
  std::optional<Duration> ListAge() const;

  // Calls `subscriber` with no lock held when the counts change.
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
  // Rebuilds the member list and the counts if the table has changed.
  void RefreshLocked();
  // Notifies subscribers if the counts differ from those published last.
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
  uint64_t m_version = 0;  // Table version of m_members and m_counts.
  MembersPtr m_members;
  MembershipCounts m_counts;
  MembershipCounts m_published;
  uint64_t m_next_subscriber = 1;
  std::map<uint64_t, std::shared_ptr<const Subscriber>> m_subscribers;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_MEMBERSHIP_MEMBERSHIP_H_
