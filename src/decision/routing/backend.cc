#include "wasabihook/backend.h"

namespace wasabihook {

bool IsProvablyNotRun(SubOutcome outcome) {
  switch (outcome) {
    case SubOutcome::kOverloaded:
    case SubOutcome::kDraining:
    case SubOutcome::kSnapshotNotServed:
    case SubOutcome::kGroupNotHeld:
    case SubOutcome::kConnectFailed:
    case SubOutcome::kNoConnection:
      return true;
    case SubOutcome::kOk:
    case SubOutcome::kTimedOut:
    case SubOutcome::kConnectionLost:
    case SubOutcome::kInvalidReply:
    case SubOutcome::kServerError:
    case SubOutcome::kCancelled:
      return false;
  }
  return false;
}

std::string ToString(SubOutcome outcome) {
  switch (outcome) {
    case SubOutcome::kOk:
      return "ok";
    case SubOutcome::kOverloaded:
      return "overloaded";
    case SubOutcome::kDraining:
      return "draining";
    case SubOutcome::kSnapshotNotServed:
      return "snapshot_not_served";
    case SubOutcome::kGroupNotHeld:
      return "group_not_held";
    case SubOutcome::kConnectFailed:
      return "connect_failed";
    case SubOutcome::kNoConnection:
      return "no_connection";
    case SubOutcome::kTimedOut:
      return "timed_out";
    case SubOutcome::kConnectionLost:
      return "connection_lost";
    case SubOutcome::kInvalidReply:
      return "invalid_reply";
    case SubOutcome::kServerError:
      return "server_error";
    case SubOutcome::kCancelled:
      return "cancelled";
  }
  return "server_error";
}

}  // namespace wasabihook
