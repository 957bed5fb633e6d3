#ifndef SRC_GATEWAY_CALLER_CONNECTION_H_
#define SRC_GATEWAY_CALLER_CONNECTION_H_

// PRIVATE HEADER. Server side of one HTTP/1.1 connection.

#include <functional>
#include <optional>
#include <string>

#include "gateway/caller_listener.h"

namespace wasabihook::gateway {

// Connection of one caller. Requests are served one at a time, in order.
class CallerConnection : public IoHandler,
                         public Responder,
                         public CallerMember {
 public:
  CallerConnection(CallerListener* listener, EventLoop* loop, Socket socket);
  ~CallerConnection() override;

  void Respond(OutboundResponse response) override;
  void SetDisconnectHook(std::function<void()> hook) override {
    m_disconnect_hook = std::move(hook);
  }
  void OnIo(uint32_t events) override;
  void Abort() override { Close(); }
  SourceAddress source() const override { return m_source; }
  std::optional<TimePoint> waiting_since() const override;
  void GiveUp(bool close) override;

  // Closes the connection, or answers with status 408, if a timeout of the
  // current state has expired.
  void CheckTimeouts(TimePoint now);
  // Closes the connection unless a request has arrived on it, or it is so new
  // that its first request may be on the way.
  void CloseIfIdle();
  // A request was received at least in part and is not fully answered.
  bool busy() const;

 private:
  enum class State : uint8_t {
    kHead,       // Idle, or reads a request head.
    kBody,       // Reads a body.
    kWaiting,    // The handler processes the request.
    kWriting,    // Sends the response.
    kLingering,  // Response sent; waits for the caller to close.
    kClosed,
  };

  void Read();
  void Parse();
  bool ParseHead();
  void ParseBody();
  void Dispatch();
  void RespondWithError(int status);
  void RejectForMemory();
  // Reports what the connection holds. False if it was given up for it.
  bool ReportBytes();
  size_t held_bytes() const;
  void FreeRequest();
  void StartWrite(std::string text, bool close);
  void Flush();
  void OnWritten();
  void Linger();
  void Close();
  void UpdateEvents();
  void SetState(State state);

  CallerListener* const m_listener;
  EventLoop* const m_loop;
  Socket m_socket;
  const SourceAddress m_source;
  State m_state = State::kHead;
  TimePoint m_state_since;
  // The first byte of the current request head was read.
  bool m_head_started = false;
  bool m_first_request = true;
  bool m_close_after_response = false;
  bool m_write_blocked = false;
  uint32_t m_watched_events = 0;
  // Received but not yet parsed.
  std::string m_input;
  std::string m_output;
  size_t m_output_sent = 0;
  MessageParser m_parser{MessageParser::Type::kRequest};
  bool m_head_request = false;
  std::function<void()> m_disconnect_hook;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CALLER_CONNECTION_H_
