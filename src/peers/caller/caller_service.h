#ifndef SRC_PEERS_CALLER_CALLER_SERVICE_H_
#define SRC_PEERS_CALLER_CALLER_SERVICE_H_

// Private. Request handler of the caller API.

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
  const TimerService* timers = nullptr;  // Measures the latencies in the log.
  RandomSource random;                   // Generates missing request ids.
  // Returns whether settings have been loaded; requests are rejected until
  // then.
  std::function<bool()> has_settings = [] { return true; };
  // Called with the HTTP status of each request that is rejected as invalid.
  std::function<void(int)> on_invalid = [](int) {};
};

// Serves the paths of docs/caller-api.md: decodes a request, submits it to the
// query tier and encodes the reply. Thread-safe.
class CallerService {
 public:
  // Objects that `options` refers to must outlive every request.
  explicit CallerService(CallerServiceOptions options);
  ~CallerService();
  CallerService(const CallerService&) = delete;
  CallerService& operator=(const CallerService&) = delete;

  // Answers one request; usable as an HttpHandler.
  void Handle(const HttpRequest& request, HttpResponder responder);
  // Returns the ids of requests that wait for their reply.
  std::vector<RequestId> InFlight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook::caller

#endif  // SRC_PEERS_CALLER_CALLER_SERVICE_H_
