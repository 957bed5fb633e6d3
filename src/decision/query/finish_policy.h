#ifndef SRC_DECISION_QUERY_FINISH_POLICY_H_
#define SRC_DECISION_QUERY_FINISH_POLICY_H_

#include <cstdint>

#include "decision/query/coverage_count.h"
#include "wasabihook/settings.h"
#include "wasabihook/units.h"

namespace wasabihook {

enum class FinishDecision : uint8_t { kContinue, kAnswer, kFail };

struct FinishInput {
  CoverageCount coverage;
  // Every part of the query was answered or has failed.
  bool settled = false;
  bool soft_deadline_passed = false;
  bool deadline_passed = false;
};

// Decides whether a query ends now. It ends when its coverage is complete, when
// all parts are settled, at the deadline, or, under CoveragePolicy::kEarly,
// once the soft deadline has passed and the minimum coverage is reached.
FinishDecision DecideFinish(CoveragePolicy policy,
                            Fraction min_coverage,
                            const FinishInput& input);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_FINISH_POLICY_H_
