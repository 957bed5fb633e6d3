#ifndef SRC_GATEWAY_ANSWER_POLICY_H_
#define SRC_GATEWAY_ANSWER_POLICY_H_

// PRIVATE HEADER.

#include <cstdint>

namespace wasabihook::gateway {

enum class AnswerDecision : uint8_t { kWait, kAnswer, kFail };

struct AnswerInput {
  uint32_t total = 0;
  uint32_t required = 1;
  uint32_t answered = 0;
  // Parts that failed and will not be retried.
  uint32_t failed = 0;
  // The last time at which an answer still meets the route's objective has
  // passed.
  bool objective_passed = false;
  bool deadline_passed = false;
};

// Decides when a request over many shards is answered:
// - as soon as no part is pending, if at least `required` parts are answered;
// - from the objective on, as soon as `required` parts are answered, since an
//   answer after the objective is worth a fraction of one before it;
// - with a failure as soon as `required` parts can no longer be reached, or at
//   the deadline if fewer are answered.
AnswerDecision DecideAnswer(const AnswerInput& input);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ANSWER_POLICY_H_
