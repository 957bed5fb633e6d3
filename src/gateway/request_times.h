#ifndef SRC_GATEWAY_REQUEST_TIMES_H_
#define SRC_GATEWAY_REQUEST_TIMES_H_

// PRIVATE HEADER.

#include <optional>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

struct RequestTimesInput {
  TimePoint received_at;
  // Latency objective and timeout of the route; a timeout of 0 means none.
  Duration objective{0};
  Duration timeout{0};
  // Remaining time stated by the caller, and the maximum stated by any caller
  // of the route, which is taken as the time budget of a first attempt.
  std::optional<Duration> caller_timeout;
  Duration max_caller_timeout{0};
  bool first_on_connection = false;
  // Time before the objective at which the answer must be sent.
  Duration answer_margin = kAnswerMargin;
  // Round trip to the caller; empty if unknown.
  std::optional<Duration> round_trip{};
};

struct RequestTimes {
  // Latest time of an answer.
  TimePoint deadline;
  // Latest time of an answer that meets the objective of the route.
  TimePoint objective_at;
  // Time at which a part fails that still waits for a server with capacity.
  TimePoint queue_deadline;
};

// Computes the time limits of a request. A caller that retries states the rest
// of its budget, from which the time of its first attempt is derived; the
// objective counts from there. If the objective has already passed, it restarts
// at the arrival, so that the retry gets as complete an answer as a first
// attempt.
RequestTimes ComputeRequestTimes(const RequestTimesInput& input);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REQUEST_TIMES_H_
