#ifndef SRC_RUNTIME_HTTP_LISTENER_H_
#define SRC_RUNTIME_HTTP_LISTENER_H_

// PRIVATE HEADER. HTTP/1.1 listener over libmicrohttpd.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wasabihook/config.h"
#include "wasabihook/units.h"

namespace wasabihook {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method;
  std::string path;   // Percent-decoded, without the query.
  HttpHeaders query;  // Percent-decoded arguments in order of appearance.
  HttpHeaders headers;
  std::string body;
  // Why the listener itself refuses the request: 413 or 431. The handler
  // answers with this status in its own format; `body` is empty then.
  std::optional<int> refused_status;
  // Takes a hook that is called at most once, on a thread of the listener, if
  // the caller closes or half-closes its connection before the answer.
  std::function<void(std::function<void()>)> set_close_callback{};

  // First header of that name, compared without regard to case.
  std::optional<std::string> Header(std::string_view name) const;
  // First query argument of that name, compared exactly.
  std::optional<std::string> QueryArgument(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body{};
  std::string content_type = "application/json";
  HttpHeaders headers{};
};

// Answers one request; may be called from any thread. Further calls are
// ignored. If every copy is destroyed without a call, the caller gets 500.
using HttpResponder = std::function<void(HttpResponse)>;
// Called on a listener thread, which it must not block. May call the responder
// at once or keep it for later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpListenerOptions {
  std::string address = "127.0.0.1:0";  // "ip:port", port 0 = ephemeral.
  uint32_t threads = config::kListenerThreads;
  size_t max_body_bytes = config::kMaxBodyBytes;
  size_t max_header_bytes = config::kMaxHeaderBytes;
  uint32_t max_connections = config::kMaxCallerConnections;
  // A connection without progress for this long is closed; whole seconds.
  // Does not apply while a request waits for its responder.
  Duration idle_timeout = config::kCallerIdleTimeout;
  // Longest time from the first byte of a body to its last.
  Duration body_timeout = config::kCallerBodyTimeout;
};

// Listens on one address. A request that waits for its responder holds no
// thread. Thread-safe.
class HttpListener {
 public:
  // Throws std::runtime_error if the address is invalid or cannot be bound.
  HttpListener(HttpListenerOptions options, HttpHandler handler);
  // Calls Stop(Duration(0)).
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Bound address, "ip:port" with the port in use.
  const std::string& address() const;
  // Requests received and not yet fully answered.
  size_t in_flight() const;
  // Closes each connection after its next response, so that callers move on.
  void CloseAfterResponse();
  // Accepts no new connection, waits up to `limit` until every response in
  // flight is sent, and ends the threads. Requests still waiting then are
  // answered with 503. Returns the number of requests cut. Must not be called
  // from a handler.
  size_t Stop(Duration limit);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_HTTP_LISTENER_H_
