#ifndef SRC_TESTING_LOAD_HTTP_CALL_H_
#define SRC_TESTING_LOAD_HTTP_CALL_H_

// PRIVATE HEADER. Blocking HTTP client for control traffic.

#include <string>

#include "wasabihook/units.h"

namespace wasabihook::load {

struct HttpCallResult {
  int status = 0;  // 0 if no complete response was received.
  std::string body;
};

// Sends one request to `url` on a new connection. `body` is sent as JSON unless
// `method` is GET. Throws std::runtime_error if libcurl cannot be initialised.
HttpCallResult HttpCall(const std::string& method,
                        const std::string& url,
                        const std::string& body,
                        Duration timeout);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_HTTP_CALL_H_
