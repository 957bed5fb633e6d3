#ifndef SRC_GATEWAY_ANSWERS_ANSWER_MARGIN_H_
#define SRC_GATEWAY_ANSWERS_ANSWER_MARGIN_H_

// PRIVATE HEADER. Pattern: callers some milliseconds away, with an objective of
// a few tens of milliseconds, on an instance with a tenth of a core. Answers
// that leave at the last moment by the instance's clock arrive too late.

#include <optional>

#include "gateway/gateway_settings.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// How long before the objective an answer has to be sent: the round trip to the
// caller, and the time by which this instance sends later than it means to.
class AnswerMargin {
 public:
  // An answer that was due at the objective was sent this much later.
  void OnSent(Duration lateness);

  // `round_trip`: measured on the connection of the caller; empty if unknown.
  // At least kAnswerMargin, and at most kMaxAnswerMarginShare of `objective`.
  Duration For(std::optional<Duration> round_trip, Duration objective) const;
  // High quantile of the lateness.
  Duration lateness() const { return m_lateness; }

 private:
  Duration m_lateness = kInitialAnswerLateness;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ANSWERS_ANSWER_MARGIN_H_
