#ifndef SRC_GATEWAY_CALLER_LISTENER_H_
#define SRC_GATEWAY_CALLER_LISTENER_H_

// PRIVATE HEADER. HTTP/1.1 server on the gateway's event loop.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/event_loop.h"
#include "gateway/http_message.h"
#include "gateway/platform_adapter.h"
#include "gateway/socket.h"

namespace wasabihook::gateway {

// A whole request of a caller.
struct InboundRequest {
  std::string method;
  std::string target;  // As sent: path and query.
  // Valid during the handler's call only.
  const HeaderList* headers = nullptr;
  std::string body;
  TimePoint received_at;
  // The caller also waited for the handshake of the connection.
  bool first_on_connection = false;
};

struct OutboundResponse {
  int status = 200;
  // Lines of header fields, each with CRLF; without length and connection.
  std::string header_lines{};
  std::string body{};
  // Overrides the length in the answer to HEAD.
  std::optional<std::string> head_content_length{};
};

// One answer to one request.
class Responder {
 public:
  virtual ~Responder() = default;
  // Called exactly once, unless the caller went away before.
  virtual void Respond(OutboundResponse response) = 0;
  // `hook` runs if the caller closes its connection before the answer.
  virtual void SetDisconnectHook(std::function<void()> hook) = 0;
};

using RequestHandler = std::function<void(InboundRequest, Responder&)>;

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

  // Bound address, "ip:port" with the port in use.
  const std::string& address() const { return m_address; }
  // Limits of the present configuration.
  void SetLimits(const CallerLimits& limits) { m_limits = limits; }
  const CallerLimits& limits() const { return m_limits; }
  // Every answer from now on ends its connection.
  void BeginDrain() { m_draining = true; }
  bool draining() const { return m_draining; }
  // Closes connections that have no request.
  void CloseIdle();
  // Takes no more connections.
  void StopAccepting();
  size_t connections() const { return m_connections.size(); }
  // Requests received, in part or whole, and not fully answered.
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
