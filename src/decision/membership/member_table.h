#ifndef SRC_DECISION_MEMBERSHIP_MEMBER_TABLE_H_
#define SRC_DECISION_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wasabihook/peer.h"
#include "wasabihook/platform.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class MemberState : uint8_t {
  kLive,
  kLeaving,  // Announced by itself or in the list; never becomes live again.
  kSuspect,  // Does not answer calls of this instance.
  kGone,
};

std::string ToString(MemberState state);

struct Member {
  PeerIdentity identity;
  MemberState state = MemberState::kLive;
  // Time of the latest message from it.
  std::optional<TimePoint> last_message_at;
};

// Merges the platform's list of instances with messages from peers and failed
// calls to them. An instance is identified by address and incarnation; another
// incarnation at an address replaces the previous one permanently. Not
// thread-safe; the caller provides the time.
class MemberTable {
 public:
  explicit MemberTable(PeerIdentity self);

  void OnList(const std::vector<ListedInstance>& listed, TimePoint now);
  // Records a message from `from`.
  void OnMessage(const PeerIdentity& from, bool leaving, TimePoint now);
  // Records an unanswered call to `address`.
  void OnUnreachable(const std::string& address, TimePoint now);
  // Removes instances that have been suspect for kSuspectTimeout, unless a
  // recent list contains them.
  void Expire(TimePoint now);
  void SetSelfLeaving();

  // This instance first, then the other members by address; removed instances
  // are not included.
  std::vector<Member> Members() const;
  size_t size() const { return m_entries.size() + 1; }
  // Increases whenever a member is added, removed, replaced or changes its
  // state.
  uint64_t version() const { return m_version; }
  const PeerIdentity& self() const { return m_self.identity; }
  bool self_leaving() const { return m_self.state == MemberState::kLeaving; }
  // False if the latest list lacks this instance or has another state for it.
  bool self_listed() const { return m_self_listed; }

 private:
  struct Entry {
    Member member;
    bool listed = false;
    uint32_t failures = 0;
    uint32_t missing_lists = 0;
    TimePoint suspect_since;
  };

  void MergeListed(const ListedInstance& listed, TimePoint now);
  void MergeUnlisted(const std::set<std::string>& listed, TimePoint now);
  void Replace(Entry& entry, Entry replacement);
  void SetState(Entry& entry, MemberState state);
  bool WasReplaced(const std::string& address, Incarnation incarnation) const;
  static bool HasRecentContact(const Entry& entry, TimePoint now);

  uint64_t m_version = 1;
  Member m_self;
  bool m_self_listed = false;
  std::optional<TimePoint> m_list_at;
  std::map<std::string, Entry> m_entries;  // By address.
  std::set<std::pair<std::string, Incarnation>> m_replaced;
  std::deque<std::pair<std::string, Incarnation>> m_replaced_order;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_MEMBERSHIP_MEMBER_TABLE_H_
