#ifndef SRC_DECISION_OPERATIONS_OPERATION_CHECKS_H_
#define SRC_DECISION_OPERATIONS_OPERATION_CHECKS_H_

#include <optional>
#include <string>

#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook {

struct OperationRefusal {
  ErrorCode code = ErrorCode::kInvalidRequest;
  std::string message;
};

// Checks idempotency key and issue time of an operation. Claims are removed
// after `claim_retention`, so an older request might run a second time; the
// clock margin covers the clocks of callers and instances. Empty if valid.
std::optional<OperationRefusal> CheckOperation(const CallerRequest& request,
                                               WallTime now,
                                               Duration claim_retention);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_OPERATION_CHECKS_H_
