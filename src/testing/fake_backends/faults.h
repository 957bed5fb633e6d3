// Private. Faults that a fake server injects, set through the control API.
#ifndef SRC_TESTING_FAKE_BACKENDS_FAULTS_H_
#define SRC_TESTING_FAKE_BACKENDS_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "testing/fake_backends/event_loop.h"

namespace wasabihook::testing {

// Shares are probabilities per request.
struct Faults {
  Duration slow{0};  // Added to each service time.
  double straggle_share = 0;
  Duration straggle{0};  // Added to the service time of stragglers.
  // Service times are multiplied by a factor that falls linearly from
  // `cold_factor` to 1 between `cold_start` and `cold_end`.
  double cold_factor = 1;
  LoopClock::time_point cold_start;
  LoopClock::time_point cold_end;
  bool draining = false;
  double shed_share = 0;  // Refused as overloaded.
  bool refuse_versions = false;
  bool ignore_deadline = false;  // Work continues after its deadline.
  double lose_reply_share = 0;   // Connection reset instead of a reply.
  double truncate_share = 0;     // Reply without its last bytes.
  double short_rows_share = 0;   // One row less than row_count states.
  double duplicate_share = 0;
  double swap_share = 0;  // Replies of two connections are swapped.
  // Values that /v1/health and the load in replies report instead of the true
  // ones.
  std::optional<std::string> claimed_state;
  std::optional<uint32_t> claimed_running;
  std::optional<uint32_t> claimed_queued;
};

// Applies the members of `change` to `faults`; see docs/fakes.md. Members that
// are not part of the fault state ("silent", "lost") are left to the caller.
// Throws std::invalid_argument for an unknown member and
// nlohmann::json::exception for a wrong type.
void ChangeFaults(const nlohmann::json& change, Faults* faults);

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_FAULTS_H_
