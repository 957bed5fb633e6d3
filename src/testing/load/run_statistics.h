#ifndef SRC_TESTING_LOAD_RUN_STATISTICS_H_
#define SRC_TESTING_LOAD_RUN_STATISTICS_H_

// PRIVATE HEADER. Figures of a run, computed from its samples.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "testing/load/load_types.h"
#include "wasabihook/units.h"

namespace wasabihook::load {

enum class Outcome : uint8_t {
  kComplete,
  kPartial,
  kRefused,  // Stated as not run.
  kError,    // Any other error, or no answer at all.
};

// One request of the run, as far as the figures need it.
struct Sample {
  size_t stream = 0;
  Duration at{0};       // Intended send time from the measured part's start.
  Duration latency{0};  // From the intended send time to the answer.
  Duration deadline{0};
  Outcome outcome = Outcome::kError;
  double coverage = 0;  // Share of records, as stated.
  uint32_t groups = 0;  // Shard groups asked, as stated; 0 if not stated.
};

// `warm_up` is subtracted from the times. A body that cannot be read counts as
// an error.
Sample ToSample(const LoadRequest& request,
                const Response& response,
                Duration warm_up);

// Short text that tells kinds of responses apart: the HTTP status with the
// error code, or why no response came.
std::string ResponseLabel(const Response& response);

struct RunStatistics {
  size_t requests = 0;
  // Latency of all requests that were not refused, errors included: a lost
  // request does not improve a quantile.
  Duration p50{0};
  Duration p99{0};
  Duration p999{0};
  Duration max{0};
  double coverage = 0;        // Mean over the answers.
  double complete_share = 0;  // Complete answers of all requests.
  size_t refused = 0;
  size_t errors = 0;
  Duration refusal_p99{0};
  // Greatest latency as a multiple of the request's deadline.
  double deadline_share = 0;
  double goodput = 0;  // Complete answers a second.
};

// Figures of the samples whose intended send time lies in [from, to).
RunStatistics ComputeStatistics(const std::vector<Sample>& samples,
                                Duration from,
                                Duration to);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_RUN_STATISTICS_H_
