#include "decision/membership/member_table.h"

#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {

std::string ToString(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kGone:
      return "gone";
  }
  return "unknown";
}

MemberTable::MemberTable(PeerIdentity self)
    : m_self{std::move(self), MemberState::kLive, std::nullopt} {}

void MemberTable::OnList(const std::vector<ListedInstance>& listed,
                         TimePoint now) {
  m_list_at = now;
  m_self_listed = false;
  std::set<std::string> addresses;
  for (const ListedInstance& instance : listed) {
    addresses.insert(instance.peer_address);
    if (instance.peer_address == m_self.identity.address) {
      m_self_listed =
          instance.incarnation == m_self.identity.incarnation &&
          (instance.state == ListedState::kLeaving) == self_leaving();
    } else {
      MergeListed(instance, now);
    }
  }
  MergeUnlisted(addresses, now);
}

void MemberTable::MergeListed(const ListedInstance& listed, TimePoint now) {
  if (WasReplaced(listed.peer_address, listed.incarnation)) {
    return;
  }
  Entry fresh;
  fresh.listed = true;
  fresh.member.identity = {listed.id, listed.incarnation, listed.peer_address,
                           listed.data_centre};
  fresh.member.state = listed.state == ListedState::kLeaving
                           ? MemberState::kLeaving
                           : MemberState::kLive;
  const auto [it, added] = m_entries.try_emplace(listed.peer_address, fresh);
  Entry& entry = it->second;
  if (added) {
    ++m_version;
    return;
  }
  if (entry.member.identity.incarnation != listed.incarnation) {
    // The list lags, so it may still contain the previous incarnation.
    if (!HasRecentContact(entry, now)) {
      Replace(entry, std::move(fresh));
    }
    return;
  }
  entry.listed = true;
  entry.missing_lists = 0;
  if (listed.state == ListedState::kLeaving) {
    SetState(entry, MemberState::kLeaving);
  }
}

void MemberTable::MergeUnlisted(const std::set<std::string>& listed,
                                TimePoint now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    Entry& entry = it->second;
    const bool missing = !listed.contains(it->first);
    if (missing) {
      entry.listed = false;
      ++entry.missing_lists;
    }
    const bool gone = missing &&
                      entry.missing_lists >= config::kMaxMissedLists &&
                      !HasRecentContact(entry, now);
    m_version += gone ? 1 : 0;
    it = gone ? m_entries.erase(it) : std::next(it);
  }
}

void MemberTable::OnMessage(const PeerIdentity& from,
                            bool leaving,
                            TimePoint now) {
  if (from.address == m_self.identity.address ||
      WasReplaced(from.address, from.incarnation)) {
    return;
  }
  Entry fresh;
  fresh.member = {from, leaving ? MemberState::kLeaving : MemberState::kLive,
                  now};
  const auto [it, added] = m_entries.try_emplace(from.address, fresh);
  Entry& entry = it->second;
  if (added) {
    ++m_version;
    return;
  }
  if (entry.member.identity.incarnation != from.incarnation) {
    Replace(entry, std::move(fresh));
    return;
  }
  entry.member.last_message_at = now;
  entry.failures = 0;
  if (leaving) {
    SetState(entry, MemberState::kLeaving);
  } else if (entry.member.state == MemberState::kSuspect) {
    SetState(entry, MemberState::kLive);
  }
}

void MemberTable::OnUnreachable(const std::string& address, TimePoint now) {
  const auto it = m_entries.find(address);
  if (it == m_entries.end()) {
    return;
  }
  Entry& entry = it->second;
  if (++entry.failures < config::kSuspectFailures) {
    return;
  }
  if (entry.member.state == MemberState::kLeaving && !entry.listed) {
    m_entries.erase(it);
    ++m_version;
  } else if (entry.member.state == MemberState::kLive) {
    SetState(entry, MemberState::kSuspect);
    entry.suspect_since = now;
  }
}

void MemberTable::Expire(TimePoint now) {
  const bool recent_list =
      m_list_at && now - *m_list_at < config::kSuspectTimeout;
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const Entry& entry = it->second;
    const bool gone = entry.member.state == MemberState::kSuspect &&
                      now - entry.suspect_since >= config::kSuspectTimeout &&
                      !(recent_list && entry.listed);
    m_version += gone ? 1 : 0;
    it = gone ? m_entries.erase(it) : std::next(it);
  }
}

void MemberTable::SetSelfLeaving() {
  m_self.state = MemberState::kLeaving;
  ++m_version;
  m_self_listed = false;
}

std::vector<Member> MemberTable::Members() const {
  std::vector<Member> members = {m_self};
  for (const auto& [address, entry] : m_entries) {
    members.push_back(entry.member);
  }
  return members;
}

void MemberTable::Replace(Entry& entry, Entry replacement) {
  const PeerIdentity& old = entry.member.identity;
  if (m_replaced.emplace(old.address, old.incarnation).second) {
    m_replaced_order.emplace_back(old.address, old.incarnation);
  }
  if (m_replaced_order.size() > config::kMaxReplacedInstances) {
    m_replaced.erase(m_replaced_order.front());
    m_replaced_order.pop_front();
  }
  entry = std::move(replacement);
  ++m_version;
}

void MemberTable::SetState(Entry& entry, MemberState state) {
  m_version += entry.member.state != state ? 1 : 0;
  entry.member.state = state;
}

bool MemberTable::WasReplaced(const std::string& address,
                              Incarnation incarnation) const {
  return m_replaced.contains({address, incarnation});
}

bool MemberTable::HasRecentContact(const Entry& entry, TimePoint now) {
  return entry.member.last_message_at &&
         now - *entry.member.last_message_at < config::kDirectContactWindow;
}

}  // namespace wasabihook
