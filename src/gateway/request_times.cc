#include "gateway/request_times.h"

#include <algorithm>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

// Answers are sent this long before the caller's deadline, so that they arrive.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(6);

}  // namespace

RequestTimes PlanTimes(const RequestTimesInput& input) {
  Duration left = input.timeout > Duration(0) ? input.timeout : kDefaultTimeout;
  Duration spent{0};
  if (input.stated_left) {
    spent = std::max(input.longest_stated - *input.stated_left, Duration(0));
    left = std::min(
        left, std::max(*input.stated_left - kDeadlineMargin, Duration(0)));
  }
  if (spent >= input.objective)
    spent = Duration(0);
  const Duration margin =
      kReplyMargin +
      (input.first_on_connection ? kHandshakeMargin : Duration(0));
  const auto queue = Duration(static_cast<int64_t>(
      static_cast<double>(input.objective.count()) * kQueueShare));
  RequestTimes out;
  out.deadline = input.received_at + left;
  out.objective_at = input.received_at + input.objective - margin - spent;
  out.queue_end = std::min(out.deadline, input.received_at + queue);
  return out;
}

}  // namespace wasabihook::gateway
