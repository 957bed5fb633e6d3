#ifndef SRC_GATEWAY_SERVER_PAUSE_H_
#define SRC_GATEWAY_SERVER_PAUSE_H_

// PRIVATE HEADER. Pattern: a server that turns a request away and says for how
// long it wants no more of this instance.

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Time that the values of the Retry-After fields of one answer ask for, in
// seconds. Empty if none of them is a positive number. Of several the longest
// counts, and at most kMaxServerPause.
std::optional<Duration> ParsePause(const std::vector<std::string_view>& values);

// Share of its usual requests that a server gets at `now` from this instance
// after a pause that ended at `end`.
double ShareAfterPause(TimePoint end, TimePoint now);

// Time after which a request can be served that lacks `missing` more parts,
// when `ends` are the ends of the pauses of the parts that have no server.
// Empty if more than that is in the way.
std::optional<Duration> TimeUntilServable(std::vector<TimePoint> ends,
                                          size_t missing,
                                          TimePoint now);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_PAUSE_H_
