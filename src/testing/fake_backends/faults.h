// Private. Faults of one fake server, set through the control API.
#ifndef SRC_TESTING_FAKE_BACKENDS_FAULTS_H_
#define SRC_TESTING_FAKE_BACKENDS_FAULTS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "testing/fake_backends/event_loop.h"

namespace wasabihook::testing {

// Shares are probabilities for each request.
struct Faults {
  Duration slow{0};  // Added to each service time.
  double straggle_share = 0;
  Duration straggle{0};
  // Service times are multiplied by a factor that decays to 1 until `cold_end`.
  double cold_factor = 1;
  LoopClock::time_point cold_start;
  LoopClock::time_point cold_end;
  bool draining = false;
  double shed_share = 0;
  bool refuse_versions = false;
  bool ignore_deadline = false;  // Work runs on beyond its deadline.
  double lose_reply_share = 0;   // Run, then close without a reply.
  double truncate_share = 0;     // Reply cut off in the middle.
  double short_rows_share = 0;   // A row is missing, row_count is unchanged.
  double duplicate_share = 0;
  double swap_share = 0;  // Replies of two connections change places.
  // What /v1/health and the load in replies claim.
  std::optional<std::string> claimed_state;
  std::optional<uint32_t> claimed_running;
  std::optional<uint32_t> claimed_queued;
};

// Takes the members of `change` over into `faults`; see docs/fakes.md. Members
// that are no fault state ("silent", "lost") are left to the caller. Throws
// std::invalid_argument for unknown members and nlohmann::json::exception for
// wrong types.
void ChangeFaults(const nlohmann::json& change, Faults* faults);

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_FAULTS_H_
