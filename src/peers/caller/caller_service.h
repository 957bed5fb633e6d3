#ifndef SRC_PEERS_CALLER_CALLER_SERVICE_H_
#define SRC_PEERS_CALLER_CALLER_SERVICE_H_

// PRIVATE HEADER.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "runtime/http_listener.h"
#include "wasabihook/ids.h"
#include "wasabihook/query_tier.h"
#include "wasabihook/random_source.h"
#include "wasabihook/timer_service.h"

namespace wasabihook::caller {

struct CallerServiceOptions {
  QueryTier* tier = nullptr;
  const TimerService* timers = nullptr;  // For latencies in the log.
  RandomSource random;                   // For ids of requests without one.
  // False until settings are known; requests are refused until then.
  std::function<bool()> has_settings = [] { return true; };
  // Called with the HTTP status of each request that is refused as invalid.
  std::function<void(int)> on_invalid = [](int) {};
};

// Serves the paths of docs/caller-api.md: decodes, submits to the tier and
// encodes the reply. Thread-safe.
class CallerService {
 public:
  // What `options` points to outlives every request.
  explicit CallerService(CallerServiceOptions options);
  ~CallerService();
  CallerService(const CallerService&) = delete;
  CallerService& operator=(const CallerService&) = delete;

  // Answers one request; usable as an HttpHandler.
  void Handle(const HttpRequest& request, HttpResponder responder);
  // Ids of requests that wait for their reply.
  std::vector<RequestId> InFlight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook::caller

#endif  // SRC_PEERS_CALLER_CALLER_SERVICE_H_
