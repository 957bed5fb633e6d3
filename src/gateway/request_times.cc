#include "gateway/request_times.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

// Time before the caller's deadline at which the gateway answers, so that the
// answer arrives in time.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(6);

}  // namespace

RequestTimes ComputeRequestTimes(const RequestTimesInput& input) {
  Duration remaining =
      input.timeout > Duration(0) ? input.timeout : kDefaultTimeout;
  Duration elapsed{0};
  if (input.caller_timeout) {
    elapsed =
        std::max(input.max_caller_timeout - *input.caller_timeout, Duration(0));
    remaining = std::min(
        remaining,
        std::max(*input.caller_timeout - kDeadlineMargin, Duration(0)));
  }
  if (elapsed >= input.objective)
    elapsed = Duration(0);
  // The stated rest of the budget shows how long a handshake took.
  const bool unseen_handshake =
      input.first_on_connection && elapsed == Duration(0);
  const Duration margin =
      input.answer_margin + (unseen_handshake
                                 ? input.round_trip.value_or(kHandshakeMargin)
                                 : Duration(0));
  const auto queue = Duration(static_cast<int64_t>(
      static_cast<double>(input.objective.count()) * kMaxQueueShare));
  RequestTimes out;
  out.deadline = input.received_at + remaining;
  out.objective_at = input.received_at + input.objective - margin - elapsed;
  out.queue_deadline = std::min(out.deadline, input.received_at + queue);
  return out;
}

}  // namespace wasabihook::gateway
