#ifndef SRC_TESTING_LOAD_LOAD_TYPES_H_
#define SRC_TESTING_LOAD_LOAD_TYPES_H_

// PRIVATE HEADER. Requests and responses of the load generator.

#include <cstddef>
#include <cstdint>
#include <string>

#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook::load {

// One arrival of the schedule. `at` is relative to the start of the run.
struct Arrival {
  Duration at{0};
  size_t stream = 0;
};

// One request to a daemon.
struct LoadRequest {
  std::string id;  // Unique in the run; sent as X-Request-Id.
  Duration at{0};  // Intended send time.
  size_t stream = 0;
  RequestKind kind = RequestKind::kSearch;
  std::string team;
  std::string index_set;
  // Search text or operation. Unique for each request, so that a run recorded
  // by a fake server can be matched with its request.
  std::string payload;
  std::string record_key;
  std::string idempotency_key;
  // Sent more than once with the same payload and key, so that a recorded run
  // may belong to another transmission.
  bool repeated = false;
  Duration deadline{0};
  // Index of the target instance; -1 lets the load balancer select one.
  int instance = -1;
};

// Outcome of one request. Times are relative to the start of the run.
struct Response {
  size_t instance = 0;
  Duration sent{0};
  Duration done{0};
  int status = 0;  // HTTP status; 0 if no complete response was received.
  std::string body;
  std::string failure;  // libcurl error if there was no response.
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LOAD_TYPES_H_
