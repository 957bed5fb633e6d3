#include "decision/operations/operation_checks.h"

#include <chrono>

#include "wasabihook/config.h"

namespace wasabihook {

std::optional<OperationRefusal> CheckOperation(const CallerRequest& request,
                                               WallTime now,
                                               Duration claim_retention) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  if (request.idempotency_key.value().empty()) {
    return OperationRefusal{ErrorCode::kInvalidRequest,
                            "An operation requires an idempotency key."};
  }
  const auto margin = duration_cast<milliseconds>(config::kClockMargin);
  const auto retention = duration_cast<milliseconds>(claim_retention);
  if (request.issued_at > now + margin) {
    return OperationRefusal{ErrorCode::kInvalidRequest,
                            "The issue time is in the future."};
  }
  if (request.issued_at < now - (retention - margin)) {
    return OperationRefusal{
        ErrorCode::kRequestTooOld,
        "The request is older than the retention time of claims."};
  }
  return std::nullopt;
}

}  // namespace wasabihook
