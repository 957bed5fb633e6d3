#include "gateway/allowance/allowance_marks.h"

namespace wasabihook::gateway {

bool AllowanceMarks::Apply(const AllowanceMark& mark, TimePoint now) {
  const auto found = m_teams.find(mark.team);
  if (found == m_teams.end()) {
    if (m_teams.size() >= kMaxTeams)
      return false;
    m_teams.emplace(mark.team, Known{.ask_first = mark.ask_first,
                                     .stated_at = mark.at,
                                     .known_at = now});
    return mark.ask_first;
  }
  Known& known = found->second;
  if (mark.at <= known.stated_at)
    return false;
  known.stated_at = mark.at;
  if (mark.ask_first == known.ask_first)
    return false;
  known.ask_first = mark.ask_first;
  known.known_at = now;
  return true;
}

std::vector<AllowanceMark> AllowanceMarks::Merge(
    const std::vector<AllowanceMark>& marks,
    TimePoint now) {
  std::vector<AllowanceMark> out;
  for (const AllowanceMark& mark : marks) {
    if (Apply(mark, now))
      out.push_back(mark);
  }
  return out;
}

std::vector<AllowanceMark> AllowanceMarks::NewsSince(TimePoint since) const {
  std::vector<AllowanceMark> out;
  for (const auto& [team, known] : m_teams) {
    if (known.known_at > since && out.size() < kMaxMarksInMessage)
      out.push_back(
          {.team = team, .ask_first = known.ask_first, .at = known.stated_at});
  }
  return out;
}

void AllowanceMarks::Sweep(TimePoint now) {
  std::erase_if(m_teams, [now](const auto& entry) {
    return now - entry.second.stated_at > kAllowanceAccountExpiry;
  });
}

}  // namespace wasabihook::gateway
