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
  // 413 or 431 if the request exceeds a size limit of the listener. The handler
  // responds with this status in its own format; `body` is empty then.
  std::optional<int> refused_status;
  // Registers a callback that is called at most once, on a thread of the
  // listener, if the caller closes or half-closes its connection before the
  // response.
  std::function<void(std::function<void()>)> set_close_callback{};

  // First header with this name; case-insensitive.
  std::optional<std::string> Header(std::string_view name) const;
  // First query argument with this name; case-sensitive.
  std::optional<std::string> QueryArgument(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  std::string body{};
  std::string content_type = "application/json";
  HttpHeaders headers{};
};

// Sends the response to one request; may be called from any thread. Calls after
// the first are ignored. If all copies are destroyed without a call, the caller
// receives status 500.
using HttpResponder = std::function<void(HttpResponse)>;
// Called on a listener thread, which it must not block. May call the responder
// synchronously or store it for later.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

struct HttpListenerOptions {
  std::string address = "127.0.0.1:0";  // "ip:port", port 0 = ephemeral.
  uint32_t threads = config::kListenerThreads;
  size_t max_body_bytes = config::kMaxBodyBytes;
  size_t max_header_bytes = config::kMaxHeaderBytes;
  uint32_t max_connections = config::kMaxCallerConnections;
  // Connections without progress for this long are closed; rounded up to whole
  // seconds. Does not apply while a request waits for its responder.
  Duration idle_timeout = config::kCallerIdleTimeout;
  // Maximum time from the end of the request headers to the last byte of the
  // body; checked whenever body data arrives.
  Duration body_timeout = config::kCallerBodyTimeout;
};

// HTTP server on one address. A request that waits for its responder does not
// occupy a thread. Thread-safe.
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
  // Closes each connection after its next response, so that callers reconnect
  // to another instance.
  void CloseAfterResponse();
  // Stops accepting connections, waits up to `limit` until all responses in
  // flight are sent, and joins the threads. Requests still pending at the limit
  // receive status 503. Returns the number of aborted requests. Must not be
  // called from a handler.
  size_t Stop(Duration limit);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_HTTP_LISTENER_H_
