#include "wasabihook/request.h"

namespace wasabihook {

std::string ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
      return "invalid_request";
    case ErrorCode::kUnknownTeam:
      return "unknown_team";
    case ErrorCode::kUnknownIndexSet:
      return "unknown_index_set";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineTooShort:
      return "deadline_too_short";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kCoverageTooLow:
      return "coverage_too_low";
    case ErrorCode::kSnapshotUnavailable:
      return "snapshot_unavailable";
    case ErrorCode::kQuarantined:
      return "quarantined";
    case ErrorCode::kPlatformUnavailable:
      return "platform_unavailable";
    case ErrorCode::kClaimConflict:
      return "claim_conflict";
    case ErrorCode::kRequestTooOld:
      return "request_too_old";
    case ErrorCode::kBackendFailed:
      return "backend_failed";
    case ErrorCode::kShuttingDown:
      return "shutting_down";
    case ErrorCode::kNoSettings:
      return "no_settings";
  }
  return "backend_failed";
}

std::string ToString(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSearch:
      return "search";
    case RequestKind::kFetch:
      return "fetch";
    case RequestKind::kOperation:
      return "operation";
  }
  return "search";
}

}  // namespace wasabihook
