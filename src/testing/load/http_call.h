#ifndef SRC_TESTING_LOAD_HTTP_CALL_H_
#define SRC_TESTING_LOAD_HTTP_CALL_H_

// PRIVATE HEADER. One blocking HTTP call, for control traffic.

#include <string>

#include "wasabihook/units.h"

namespace wasabihook::load {

struct HttpCallResult {
  int status = 0;  // 0 if no whole response came.
  std::string body;
};

// Calls `url` with `method` and an optional JSON body on a new connection.
HttpCallResult HttpCall(const std::string& method,
                        const std::string& url,
                        const std::string& body,
                        Duration timeout);

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_HTTP_CALL_H_
