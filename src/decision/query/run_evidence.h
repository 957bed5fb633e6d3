#ifndef SRC_DECISION_QUERY_RUN_EVIDENCE_H_
#define SRC_DECISION_QUERY_RUN_EVIDENCE_H_

#include <cstdint>

#include "wasabihook/backend.h"
#include "wasabihook/request.h"

namespace wasabihook {

// Derives the run state of a request from the outcomes of its sub-requests. A
// sub-request without a reply, including a cancelled one, may have run.
class RunEvidence {
 public:
  void OnSent() { ++m_unresolved; }

  void OnReply(SubOutcome outcome) {
    --m_unresolved;
    if (outcome == SubOutcome::kOk) {
      m_ran = true;
    } else if (!IsProvablyNotRun(outcome)) {
      m_may_have_run = true;
    }
  }

  RunState state() const {
    if (m_ran) {
      return RunState::kRan;
    }
    return m_may_have_run || m_unresolved > 0 ? RunState::kUnknown
                                              : RunState::kNotRun;
  }

 private:
  uint32_t m_unresolved = 0;
  bool m_ran = false;
  bool m_may_have_run = false;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_RUN_EVIDENCE_H_
