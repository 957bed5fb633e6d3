#ifndef SRC_DECISION_QUERY_FINISH_POLICY_H_
#define SRC_DECISION_QUERY_FINISH_POLICY_H_

#include <cstdint>

#include "decision/query/coverage_count.h"
#include "wasabihook/settings.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class FinishDecision : uint8_t { kGoOn, kAnswer, kFail };

struct FinishInput {
  CoverageCount coverage;
  // No part of the query can still be answered.
  bool settled = false;
  bool soft_deadline_passed = false;
  bool deadline_passed = false;
};

// Decides when a search is over: when complete, at the early point of the
// policy, when nothing more can come, or at the deadline.
FinishDecision DecideFinish(CoveragePolicy policy,
                            Fraction least_coverage,
                            const FinishInput& input);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_FINISH_POLICY_H_
