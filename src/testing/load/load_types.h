#ifndef SRC_TESTING_LOAD_LOAD_TYPES_H_
#define SRC_TESTING_LOAD_LOAD_TYPES_H_

// PRIVATE HEADER. Requests that the load generator sends and what came back.

#include <cstddef>
#include <cstdint>
#include <string>

#include "wasabihook/request.h"
#include "wasabihook/units.h"

namespace wasabihook::load {

// One arrival of the schedule. `at` counts from the start of the run.
struct Arrival {
  Duration at{0};
  size_t stream = 0;
};

// One request as it goes to a daemon.
struct LoadRequest {
  std::string id;  // Unique in the run; sent as X-Request-Id.
  Duration at{0};  // Intended send time.
  size_t stream = 0;
  RequestKind kind = RequestKind::kSearch;
  std::string team;
  std::string index_set;
  // Search text or operation; unique for each request, so that the fakes'
  // record of a run names the request it belongs to.
  std::string payload;
  std::string record_key;
  std::string idempotency_key;
  // Sent more than once with the same payload and key, so that a run on record
  // may belong to another send.
  bool repeated = false;
  Duration deadline{0};
  // Instance to send to; -1 leaves the choice to the balancer.
  int instance = -1;
};

// What came back. Times count from the start of the run.
struct Response {
  size_t instance = 0;
  Duration sent{0};
  Duration done{0};
  int status = 0;  // HTTP status; 0 if no whole response came.
  std::string body;
  std::string failure;  // Why there was no response.
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_LOAD_TYPES_H_
