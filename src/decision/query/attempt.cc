#include "decision/query/attempt.h"

namespace wasabihook {

SubReply MakeOutcomeReply(const Attempt& attempt, SubOutcome outcome) {
  SubReply reply;
  reply.id = attempt.id;
  reply.outcome = outcome;
  return reply;
}

bool MatchesPinnedGroup(const Attempt& attempt, const SubReply& reply) {
  if (reply.snapshot != attempt.snapshot) {
    return false;
  }
  // Only a search scans all records of the group.
  return attempt.kind != RequestKind::kSearch ||
         reply.records_searched == attempt.group_records;
}

}  // namespace wasabihook
