#ifndef SRC_GATEWAY_CALLER_LISTENER_H_
#define SRC_GATEWAY_CALLER_LISTENER_H_

// PRIVATE HEADER. HTTP/1.1 server on the gateway's event loop, used for
// callers, readiness, metrics and the change feed.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/callers/caller_budget.h"
#include "gateway/event_loop.h"
#include "gateway/http_message.h"
#include "gateway/platform_adapter.h"
#include "gateway/socket.h"

namespace wasabihook::gateway {

// Complete request of a caller.
struct InboundRequest {
  std::string method;
  std::string target;  // Path and query, as received.
  // Valid until the response, or until the caller disconnects.
  const HeaderList* headers = nullptr;
  std::string body;
  TimePoint received_at;
  // First request on its connection, so the caller also waited for the
  // handshake.
  bool first_on_connection = false;
  // Measured by TCP; empty if unknown.
  std::optional<Duration> round_trip{};
};

struct OutboundResponse {
  int status = 200;
  // Header lines, each ending in CRLF, without Content-Length and Connection.
  std::string header_lines{};
  std::string body{};
  // Value of Content-Length in a response to HEAD, instead of the body's size.
  std::optional<std::string> head_content_length{};
};

// Sends the response to one request.
class Responder {
 public:
  virtual ~Responder() = default;
  // Must be called exactly once, unless the caller has disconnected.
  virtual void Respond(OutboundResponse response) = 0;
  // `hook` runs if the caller closes its connection before the response.
  virtual void SetDisconnectHook(std::function<void()> hook) = 0;
};

using RequestHandler = std::function<void(InboundRequest, Responder&)>;
// Called with the target and the fields of a request whose body is not read
// yet. A response rejects the request at once; its connection is closed.
using HeadCheck =
    std::function<std::optional<OutboundResponse>(std::string_view target,
                                                  const HeaderList& headers)>;

class CallerConnection;

class CallerListener : public IoHandler {
 public:
  // Throws std::runtime_error if `address` cannot be bound.
  CallerListener(EventLoop* loop,
                 const std::string& address,
                 RequestHandler handler);
  ~CallerListener() override;
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  // Address in use, "ip:port".
  const std::string& address() const { return m_address; }
  // Bounds what the connections hold, together with those of other listeners.
  // Set before connections are accepted.
  void SetBudget(CallerBudget* budget) { m_budget = budget; }
  void SetHeadCheck(HeadCheck check) { m_head_check = std::move(check); }
  // Limits of the configuration in force.
  void SetLimits(const CallerLimits& limits) { m_limits = limits; }
  const CallerLimits& limits() const { return m_limits; }
  // From now on, each response closes its connection.
  void BeginDrain() { m_draining = true; }
  bool draining() const { return m_draining; }
  // Closes the connections without a request in progress.
  void CloseIdle();
  // Accepts the connections that wait in the backlog of the socket.
  void AcceptPending();
  // Closes the listening socket. Connections in its backlog are reset.
  void StopAccepting();
  size_t connections() const { return m_connections.size(); }
  // Number of requests that were received at least in part and are not fully
  // answered.
  size_t in_flight() const;

  void OnIo(uint32_t events) override;

 private:
  friend class CallerConnection;
  void CheckTimeouts();
  void Remove(CallerConnection* connection);
  bool Owns(CallerConnection* connection) const {
    return m_connections.contains(connection);
  }

  EventLoop* const m_loop;
  const RequestHandler m_handler;
  HeadCheck m_head_check;
  CallerBudget* m_budget = nullptr;
  CallerLimits m_limits;
  Socket m_socket;
  std::string m_address;
  bool m_draining = false;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      m_connections;
  TimerHandle m_timeout_timer;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CALLER_LISTENER_H_
