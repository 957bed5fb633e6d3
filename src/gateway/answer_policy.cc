#include "gateway/answer_policy.h"

namespace wasabihook::gateway {

AnswerDecision DecideAnswer(const AnswerInput& input) {
  if (input.total - input.failed < input.required)
    return AnswerDecision::kFail;
  const bool enough = input.answered >= input.required;
  if (input.answered + input.failed == input.total)
    return enough ? AnswerDecision::kAnswer : AnswerDecision::kFail;
  if (enough && (input.objective_passed || input.deadline_passed))
    return AnswerDecision::kAnswer;
  return input.deadline_passed ? AnswerDecision::kFail : AnswerDecision::kWait;
}

}  // namespace wasabihook::gateway
