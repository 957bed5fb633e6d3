#ifndef SRC_TESTING_FAKE_PLATFORM_CONTROL_H_
#define SRC_TESTING_FAKE_PLATFORM_CONTROL_H_

#include <string>

#include "testing/fake_platform.h"

namespace wasabihook::testing {

// JSON encoding of the control API. Durations are in milliseconds.
std::string EncodeStats(const PlatformStats& stats);
std::string EncodeFaults(const PlatformFaults& faults);
// Returns `faults` with the fields that the JSON object `body` sets. Throws
// std::invalid_argument for an unknown field or a value out of range.
PlatformFaults UpdateFaults(PlatformFaults faults, const std::string& body);

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_PLATFORM_CONTROL_H_
