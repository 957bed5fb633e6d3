#ifndef SRC_GATEWAY_DRAIN_ADMISSION_H_
#define SRC_GATEWAY_DRAIN_ADMISSION_H_

// PRIVATE HEADER. Pattern: requests that arrive late in a planned stop.

#include "gateway/request_times.h"

namespace wasabihook::gateway {

// True if a draining instance takes a request that arrives now. `times` are the
// request's own, before the stop shortens them. A request that may run only
// once needs its whole time: if the stop ended it, its caller could not repeat
// it elsewhere. Any other needs the time in which its answer is worth most.
bool FitsBeforeStop(const RequestTimes& times,
                    bool idempotent,
                    TimePoint answer_by);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_DRAIN_ADMISSION_H_
