// Private. HTTP/1.1 server that can inject faults into single connections.
#ifndef SRC_TESTING_FAKE_BACKENDS_HTTP_SERVER_H_
#define SRC_TESTING_FAKE_BACKENDS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "testing/fake_backends/event_loop.h"
#include "testing/fake_backends/http_message.h"

namespace wasabihook::testing {

// Serves one loopback port on an event loop, one request at a time per
// connection. Used instead of libmicrohttpd, which cannot send malformed
// replies or reset or silence single connections, and has no simple way to
// serve a hundred ports on one thread. All functions must be called on the
// loop's thread.
class HttpServer {
 public:
  using ConnectionId = uint64_t;
  struct Hooks {
    std::function<void(ConnectionId, HttpRequest)> on_request;
    // The peer closed the connection before its request was answered.
    std::function<void(ConnectionId)> on_closed;
  };

  HttpServer(EventLoop* loop, Hooks hooks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Port 0 selects a free port. Throws std::runtime_error if the port is in
  // use.
  void Listen(uint16_t port);
  void StopListening();
  uint16_t port() const { return m_port; }

  // Connections above the limit are reset; 0 means no limit.
  void SetMaxConnections(uint32_t limit) { m_max_connections = limit; }
  // Delay from accepting a connection until its data is read.
  void SetAcceptDelay(Duration delay) { m_accept_delay = delay; }

  // Sends `bytes` and serves the next request. Ignores unknown ids.
  void Reply(ConnectionId id, std::string_view bytes);
  void ReplyAndClose(ConnectionId id, std::string_view bytes);
  // Closes the connection with a TCP reset.
  void Abort(ConnectionId id);
  void AbortAll();
  // Keeps the open connections open, but never reads or answers them again.
  void SilenceAll();

  uint32_t open() const { return static_cast<uint32_t>(m_connections.size()); }
  uint32_t peak() const { return m_peak; }
  uint64_t accepted() const { return m_accepted; }
  uint64_t refused() const { return m_refused; }

 private:
  struct Connection {
    int fd = -1;
    HttpRequestParser parser;
    std::string out;
    bool busy = false;  // A request is being served.
    bool silent = false;
    bool close_after_write = false;
    bool wants_write = false;
  };

  void OnAccept();
  void Add(int fd);
  void StartReading(ConnectionId id);
  void OnEvents(ConnectionId id, uint32_t events);
  void Read(ConnectionId id);
  void ServeNext(ConnectionId id);
  void Flush(ConnectionId id);
  void Close(ConnectionId id, bool reset);
  Connection* Find(ConnectionId id);

  EventLoop* const m_loop;
  const Hooks m_hooks;
  int m_listener = -1;
  uint16_t m_port = 0;
  uint32_t m_max_connections = 0;
  Duration m_accept_delay{0};
  ConnectionId m_next_id = 1;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
  uint32_t m_peak = 0;
  uint64_t m_accepted = 0;
  uint64_t m_refused = 0;
  // Timers may outlive the server, so they hold a weak pointer to this.
  std::shared_ptr<HttpServer*> m_self;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_HTTP_SERVER_H_
