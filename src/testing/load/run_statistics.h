#ifndef SRC_TESTING_LOAD_RUN_STATISTICS_H_
#define SRC_TESTING_LOAD_RUN_STATISTICS_H_

// PRIVATE HEADER. Statistics of a run, computed from its samples.

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
  kRefused,  // Error response with the run state not_run.
  kError,    // Any other error, or no response.
};

// Measurements of one request.
struct Sample {
  size_t stream = 0;
  Duration at{0};       // Intended send time, from the end of the warm-up.
  Duration latency{0};  // From the intended send time to the answer.
  Duration deadline{0};
  Outcome outcome = Outcome::kError;
  double coverage = 0;  // Share of records covered, from the response.
  uint32_t groups = 0;  // Shard groups asked, from the response; 0 if absent.
};

// `warm_up` is subtracted from the send time. A body that cannot be parsed
// counts as an error.
Sample ToSample(const LoadRequest& request,
                const Response& response,
                Duration warm_up);

// Label that groups similar responses: the HTTP status with the error object,
// or the reason for a missing response.
std::string ResponseLabel(const Response& response);

struct RunStatistics {
  size_t requests = 0;
  // Latency of all requests that were not refused. Errors are included, because
  // a lost request must not improve a quantile.
  Duration p50{0};
  Duration p99{0};
  Duration p999{0};
  Duration max{0};
  double coverage = 0;        // Mean over complete and partial answers.
  double complete_share = 0;  // Complete answers as a share of all requests.
  size_t refused = 0;
  size_t errors = 0;
  Duration refusal_p99{0};
  // Maximum ratio of a request's latency to its deadline.
  double deadline_share = 0;
  double goodput = 0;  // Complete answers per second.
};

// Covers the samples whose intended send time lies in [from, to).
RunStatistics ComputeStatistics(const std::vector<Sample>& samples,
                                Duration from,
                                Duration to);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_RUN_STATISTICS_H_
