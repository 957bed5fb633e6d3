#ifndef SRC_GATEWAY_REQUEST_TIMES_H_
#define SRC_GATEWAY_REQUEST_TIMES_H_

// PRIVATE HEADER.

#include <optional>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

struct RequestTimesInput {
  TimePoint received_at;
  // Of the route; a timeout of 0 stands for none.
  Duration objective{0};
  Duration timeout{0};
  // Time that the caller states to wait, and the longest that any caller of the
  // route stated: its whole time budget.
  std::optional<Duration> caller_timeout;
  Duration max_caller_timeout{0};
  bool first_on_connection = false;
};

struct RequestTimes {
  // Latest answer.
  TimePoint deadline;
  // Latest answer that meets the objective of the route.
  TimePoint objective_at;
  // A part that found no server with capacity fails then.
  TimePoint queue_deadline;
};

// The time budget of a request. A caller that asks again states the rest of
// its budget, from which its first attempt is known. If the objective is missed
// by then, it is counted anew: a caller that was rejected before gets as
// whole an answer as any other.
RequestTimes ComputeRequestTimes(const RequestTimesInput& input);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REQUEST_TIMES_H_
