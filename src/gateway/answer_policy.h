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
  // Parts that can no longer be answered.
  uint32_t failed = 0;
  // The last moment at which an answer still meets the route's objective.
  bool objective_passed = false;
  bool deadline_passed = false;
};

// When a request over many shards is over: with all parts that can still come;
// at the objective or later, as soon as the least share is in, since an answer
// after the objective is worth a fraction of one before it; at once when the
// least share can no longer be met.
AnswerDecision DecideAnswer(const AnswerInput& input);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ANSWER_POLICY_H_
