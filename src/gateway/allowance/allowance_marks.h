#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MARKS_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MARKS_H_

// PRIVATE HEADER. Pattern: a team that suddenly sends many times its usual
// through instances that have not seen it lately.

#include <unordered_map>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/teams/team_directory.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What the owner of a team's ledger has said.
struct AllowanceMark {
  TeamKey team;
  // The allowance is nearly used up: instances ask before they admit.
  bool ask_first = false;
  TimePoint at;
};

// Tells all instances which teams are near the end of their allowances. Marks
// travel like the limits that servers name.
class AllowanceMarks {
 public:
  // Returns true if it changes what is known of the team.
  bool Apply(const AllowanceMark& mark, TimePoint now);
  // Returns the marks that changed something.
  std::vector<AllowanceMark> Merge(const std::vector<AllowanceMark>& marks,
                                   TimePoint now);
  // What became known here after `since`.
  std::vector<AllowanceMark> NewsSince(TimePoint since) const;
  void Sweep(TimePoint now);

 private:
  struct Known {
    bool ask_first = false;
    TimePoint stated_at;
    TimePoint known_at;
  };

  std::unordered_map<TeamKey, Known> m_teams;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MARKS_H_
