#ifndef SRC_GATEWAY_SERVER_CONNECTION_H_
#define SRC_GATEWAY_SERVER_CONNECTION_H_

// PRIVATE HEADER. Client side of one HTTP/1.1 connection.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/event_loop.h"
#include "gateway/http_message.h"
#include "gateway/reply_claim.h"
#include "gateway/socket.h"

namespace wasabihook::gateway {

// Result of one request on a connection.
enum class WireOutcome : uint8_t {
  kReply,         // A complete reply to the request.
  kNotSent,       // Failed before any byte was sent.
  kLost,          // Connection lost; the server may have run the request.
  kInvalidReply,  // Bytes that are not a reply to the request.
};

class ServerConnection;

// Receives the events of a connection. No method is called from within a call
// to the connection.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  // The request has ended; `connection` may already be closed.
  virtual void OnRequestEnd(ServerConnection& connection,
                            WireOutcome outcome) = 0;
  virtual void OnConnected(ServerConnection& connection) = 0;
  // The connection is closed and reports no more events. `failed`: it ended
  // with an error or during a request.
  virtual void OnClosed(ServerConnection& connection, bool failed) = 0;
};

// Persistent HTTP/1.1 connection to one server, with one request at a time.
class ServerConnection : public IoHandler {
 public:
  // Starts to connect. open() is false if this fails at once.
  ServerConnection(EventLoop* loop,
                   ConnectionOwner* owner,
                   const std::string& address,
                   const std::string* request_id_field,
                   const TcpTimeouts& timeouts,
                   const MessageLimits& limits = {});
  ~ServerConnection() override;

  // Sends a request as soon as the connection is established. Requires
  // usable(). `head_only`: the method is HEAD. A request that could not be
  // started by `start_before`, for example because the process was suspended,
  // ends with kNotSent.
  // `shared_body` follows `bytes`; may be null.
  void Send(std::string bytes,
            std::string request_id,
            bool head_only,
            std::optional<TimePoint> start_before = std::nullopt,
            std::shared_ptr<const std::string> shared_body = nullptr);
  // Closes the connection without further events. A request in progress is
  // dropped.
  void Close();

  bool usable() const { return m_socket.open() && !m_busy && !m_must_close; }
  bool busy() const { return m_busy; }
  bool connected() const { return m_connected; }
  bool open() const { return m_socket.open(); }
  // The peer's machine answered that nothing listens at the address.
  bool refused() const { return m_refused; }
  // At least one byte of the current request was sent.
  bool request_started() const { return m_request_started; }
  TimePoint opened_at() const { return m_opened_at; }
  TimePoint sent_at() const { return m_sent_at; }
  TimePoint idle_since() const { return m_idle_since; }
  // The server ended the connection between two requests.
  bool ended_idle() const { return m_ended_idle; }
  // Why the bytes that were read are not a valid message.
  MessageFault fault() const { return m_parser.fault(); }
  // A valid message was dropped, since it can't be told to which request it
  // belongs.
  bool unclaimed() const { return m_unclaimed; }
  // Valid during OnRequestEnd() with kReply.
  MessageParser& reply() { return m_parser; }

  void OnIo(uint32_t events) override;
  void Abort() override;

 private:
  void FinishConnect(uint32_t events);
  void Flush();
  void Read();
  // False if the connection is closed.
  bool Consume(std::string_view data);
  // Decides about the message in the parser, which is the only way in which a
  // reply becomes complete. `rest`: the bytes behind it. False if no more bytes
  // are to be read.
  bool HandleMessage(std::string_view rest);
  ReplyClaim Claim() const;
  void OnReplyComplete(std::string_view rest);
  // `read_end`: a read has reported the end of the stream, and no error.
  void OnStreamEnd(bool read_end);
  void Fail(WireOutcome outcome, bool failed);
  void SetWriting(bool writing);

  EventLoop* const m_loop;
  ConnectionOwner* const m_owner;
  const std::string* const m_request_id_field;
  Socket m_socket;
  MessageParser m_parser;
  size_t OutputSize() const;
  // The rest of the head, or of the shared body behind it.
  std::string_view Unsent() const;

  std::string m_output;
  std::shared_ptr<const std::string> m_shared_body;
  size_t m_output_sent = 0;
  std::string m_request_id;
  std::optional<TimePoint> m_start_before;
  // Bytes of messages that were read since the request was sent and that are
  // not its reply.
  size_t m_skipped_bytes = 0;
  // An earlier request of this connection was answered.
  bool m_reused = false;
  bool m_connected = false;
  bool m_refused = false;
  // A write failed, so the stream did not end in order.
  bool m_write_failed = false;
  bool m_ended_idle = false;
  bool m_busy = false;
  bool m_head_only = false;
  // Some request of this connection was a HEAD. A copy of its reply has a
  // length, but no body.
  bool m_sent_head_request = false;
  bool m_unclaimed = false;
  bool m_request_started = false;
  bool m_writing = true;
  bool m_must_close = false;
  TimePoint m_opened_at;
  TimePoint m_sent_at;
  TimePoint m_idle_since;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_CONNECTION_H_
