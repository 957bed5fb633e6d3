#include "decision/query/finish_policy.h"

namespace wasabihook {

FinishDecision DecideFinish(CoveragePolicy policy,
                            Fraction min_coverage,
                            const FinishInput& input) {
  if (input.coverage.complete()) {
    return FinishDecision::kAnswer;
  }
  const bool enough = input.coverage.Meets(min_coverage);
  if (input.settled || input.deadline_passed) {
    return enough ? FinishDecision::kAnswer : FinishDecision::kFail;
  }
  const bool early =
      policy == CoveragePolicy::kEarly && input.soft_deadline_passed;
  return early && enough ? FinishDecision::kAnswer : FinishDecision::kContinue;
}

}  // namespace wasabihook
