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

// Validates the idempotency key and the issue time of an operation; returns
// nothing if they are valid. Claims are deleted after `claim_retention`, so an
// older request could run twice. The clock margin allows for clock skew between
// callers and instances.
std::optional<OperationRefusal> CheckOperation(const CallerRequest& request,
                                               WallTime now,
                                               Duration claim_retention);

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_OPERATION_CHECKS_H_
