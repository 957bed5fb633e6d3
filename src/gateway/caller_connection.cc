#include "gateway/caller_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

constexpr size_t kReadBufferBytes = size_t{16} * 1024;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr int kHeaderTooLarge = 431;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// For callers whose requests find no room.
constexpr std::string_view kRetryAfterLine = "Retry-After: 0.200\r\n";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

bool StatusAllowsBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= 200 && status != kNoContent && status != kNotModified;
}

std::string Serialise(const OutboundResponse& response,
                      bool head_request,
                      bool close) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " " +
                    http_status_str(static_cast<http_status>(response.status)) +
                    "\r\n" + response.header_lines;
  if (head_request && response.head_content_length)
    out += "Content-Length: " + *response.head_content_length + "\r\n";
  else if (StatusAllowsBody(response.status))
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (close)
    out += "Connection: close\r\n";
  out += "\r\n";
  if (!head_request && StatusAllowsBody(response.status))
    out += response.body;
  return out;
}

}  // namespace

CallerConnection::CallerConnection(CallerListener* listener,
                                   EventLoop* loop,
                                   Socket socket)
    : m_listener(listener),
      m_loop(loop),
      m_socket(std::move(socket)),
      m_source(PeerAddress(m_socket.fd())),
      m_state_since(loop->Now()) {
  m_watched_events = EPOLLIN;
  m_loop->Watch(m_socket.fd(), m_watched_events, this);
}

CallerConnection::~CallerConnection() {
  if (m_socket.open())
    m_loop->Unwatch(m_socket.fd());
}

bool CallerConnection::busy() const {
  return m_state == State::kBody || m_state == State::kWaiting ||
         m_state == State::kWriting ||
         (m_state == State::kHead && m_head_started);
}

void CallerConnection::SetState(State state) {
  m_state = state;
  m_state_since = m_loop->Now();
}

// Reads while a request is expected. While the handler processes one, only the
// caller's close is reported.
void CallerConnection::UpdateEvents() {
  uint32_t events = 0;
  if (m_state == State::kHead || m_state == State::kBody ||
      m_state == State::kLingering)
    events |= EPOLLIN;
  if (m_state == State::kWaiting)
    events |= EPOLLRDHUP;
  if (m_write_blocked)
    events |= EPOLLOUT;
  if (events == m_watched_events || !m_socket.open())
    return;
  m_watched_events = events;
  m_loop->UpdateWatch(m_socket.fd(), events, this);
}

void CallerConnection::Close() {
  if (m_state == State::kClosed)
    return;
  m_loop->Unwatch(m_socket.fd());
  m_socket.Close();
  m_state = State::kClosed;
  const std::function<void()> hook = std::move(m_disconnect_hook);
  m_disconnect_hook = nullptr;
  m_listener->Remove(this);
  if (hook)
    hook();
}

void CallerConnection::OnIo(uint32_t events) {
  if (m_state == State::kClosed)
    return;
  if ((events & EPOLLOUT) != 0)
    Flush();
  if (m_state == State::kClosed)
    return;
  const bool broken = (events & (EPOLLHUP | EPOLLERR)) != 0;
  const bool ended = broken || (events & EPOLLRDHUP) != 0;
  if ((ended && m_state == State::kWaiting) ||
      (broken && m_state == State::kWriting)) {
    Close();
    return;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
    Read();
  UpdateEvents();
}

void CallerConnection::Read() {
  auto& buffer = ReadBuffer();
  while (m_state == State::kHead || m_state == State::kBody ||
         m_state == State::kLingering) {
    const IoResult result =
        ReadSome(m_socket.fd(), buffer.data(), buffer.size());
    if (result.status == IoStatus::kWouldBlock)
      return;
    if (result.status != IoStatus::kOk) {
      Close();
      return;
    }
    if (m_state == State::kLingering)
      continue;
    m_input.append(buffer.data(), result.bytes);
    Parse();
    if (!ReportBytes())
      return;
    if (result.bytes < buffer.size())
      return;
  }
}

void CallerConnection::Parse() {
  if (m_state == State::kHead && !ParseHead())
    return;
  if (m_state == State::kBody)
    ParseBody();
}

// Returns true if the whole head was read.
bool CallerConnection::ParseHead() {
  if (m_input.empty())
    return false;
  if (!m_head_started) {
    m_head_started = true;
    m_state_since = m_loop->Now();
  }
  const size_t end = m_input.find(kHeadEnd);
  const size_t limit = m_listener->limits().max_header_bytes;
  if ((end == std::string::npos ? m_input.size() : end) > limit) {
    RespondWithError(kHeaderTooLarge);
    return false;
  }
  if (end == std::string::npos)
    return false;
  const std::string_view head(m_input.data(), end + kHeadEnd.size());
  m_parser.Start();
  const size_t used = m_parser.Feed(head);
  m_head_request = m_parser.method() == "HEAD";
  if (m_parser.state() == ParseState::kError ||
      m_parser.headers().Count("Host") != 1) {
    RespondWithError(kBadRequest);
    return false;
  }
  m_input.erase(0, used);
  SetState(State::kBody);
  if (m_parser.announced_body_bytes() > m_listener->limits().max_body_bytes) {
    RespondWithError(kContentTooLarge);
    return false;
  }
  if (m_parser.state() == ParseState::kBody && m_listener->m_head_check) {
    if (auto rejection =
            m_listener->m_head_check(m_parser.target(), m_parser.headers())) {
      StartWrite(Serialise(*rejection, m_head_request, true), true);
      return false;
    }
  }
  if (m_parser.state() == ParseState::kBody &&
      EqualsIgnoreCase(m_parser.headers().Find("Expect"), "100-continue"))
    WriteSome(m_socket.fd(), kContinue);
  return true;
}

void CallerConnection::ParseBody() {
  if (m_parser.state() == ParseState::kBody)
    m_input.erase(0, m_parser.Feed(m_input));
  if (m_parser.state() == ParseState::kError) {
    RespondWithError(kBadRequest);
    return;
  }
  if (m_parser.body().size() > m_listener->limits().max_body_bytes) {
    RespondWithError(kContentTooLarge);
    return;
  }
  if (m_parser.state() == ParseState::kComplete)
    Dispatch();
}

void CallerConnection::Dispatch() {
  SetState(State::kWaiting);
  m_head_started = false;
  m_close_after_response = !m_parser.keep_alive();
  InboundRequest request{.method = std::string(m_parser.method()),
                         .target = m_parser.target(),
                         .headers = &m_parser.headers(),
                         .body = m_parser.TakeBody(),
                         .received_at = m_loop->Now(),
                         .first_on_connection = m_first_request,
                         .round_trip = RoundTrip(m_socket.fd())};
  m_first_request = false;
  UpdateEvents();
  CallerBudget* budget = m_listener->m_budget;
  if (budget != nullptr &&
      !budget->BeginService(
          this, request.body.capacity() + m_parser.headers().held_bytes())) {
    RejectForMemory();
    return;
  }
  m_listener->m_handler(std::move(request), *this);
}

void CallerConnection::RespondWithError(int status) {
  m_disconnect_hook = nullptr;
  FreeRequest();
  StartWrite(Serialise({.status = status}, false, true), true);
}

void CallerConnection::RejectForMemory() {
  m_disconnect_hook = nullptr;
  FreeRequest();
  StartWrite(Serialise({.status = kUnavailable,
                        .header_lines = std::string(kRetryAfterLine)},
                       false, true),
             true);
}

void CallerConnection::FreeRequest() {
  m_parser.Start();
  m_input = std::string();
}

size_t CallerConnection::held_bytes() const {
  return m_parser.held_bytes() + m_input.capacity() + m_output.capacity();
}

bool CallerConnection::ReportBytes() {
  CallerBudget* budget = m_listener->m_budget;
  return budget == nullptr || m_state == State::kClosed ||
         budget->SetBytes(this, held_bytes());
}

std::optional<TimePoint> CallerConnection::waiting_since() const {
  if (m_state == State::kWaiting)
    return std::nullopt;
  return m_state_since;
}

void CallerConnection::GiveUp(bool close) {
  const bool reads_request =
      m_state == State::kBody || (m_state == State::kHead && m_head_started);
  if (close || !reads_request)
    Close();
  else
    RejectForMemory();
}

void CallerConnection::Respond(OutboundResponse response) {
  if (m_state != State::kWaiting)
    return;
  m_disconnect_hook = nullptr;
  const bool close = m_close_after_response || m_listener->draining();
  StartWrite(Serialise(response, m_head_request, close), close);
}

void CallerConnection::StartWrite(std::string text, bool close) {
  m_output = std::move(text);
  m_output_sent = 0;
  m_close_after_response = close;
  if (m_listener->m_budget != nullptr)
    m_listener->m_budget->EndService(this);
  SetState(State::kWriting);
  Flush();
  ReportBytes();
}

void CallerConnection::Flush() {
  while (m_state == State::kWriting && m_output_sent < m_output.size()) {
    const IoResult result = WriteSome(
        m_socket.fd(), std::string_view(m_output).substr(m_output_sent));
    if (result.status == IoStatus::kWouldBlock) {
      m_write_blocked = true;
      UpdateEvents();
      return;
    }
    if (result.status != IoStatus::kOk) {
      Close();
      return;
    }
    m_output_sent += result.bytes;
  }
  m_write_blocked = false;
  if (m_state == State::kWriting)
    OnWritten();
}

void CallerConnection::OnWritten() {
  m_output.clear();
  if (m_output.capacity() > kReadBufferBytes)
    m_output.shrink_to_fit();
  if (m_close_after_response) {
    Linger();
    return;
  }
  SetState(State::kHead);
  // The next request may already be in the input buffer.
  if (!m_input.empty())
    m_loop->SubscribeOnce(Duration(0), [this, listener = m_listener] {
      if (listener->Owns(this) && m_state == State::kHead) {
        Parse();
        UpdateEvents();
      }
    });
  UpdateEvents();
}

// Closing a socket with unread data would reset the connection, possibly before
// the caller has read the response.
void CallerConnection::Linger() {
  shutdown(m_socket.fd(), SHUT_WR);
  FreeRequest();
  SetState(State::kLingering);
  UpdateEvents();
}

void CallerConnection::CloseIfIdle() {
  // Bytes that the kernel has received and the event loop has not yet reported
  // may be a request; closing now would reset it.
  Read();
  UpdateEvents();
  const bool is_new =
      m_first_request && m_loop->Now() - m_state_since < kNewConnectionGrace;
  if (m_state == State::kHead && !m_head_started && !is_new)
    Close();
}

void CallerConnection::CheckTimeouts(TimePoint now) {
  const CallerLimits& limits = m_listener->limits();
  const Duration age = now - m_state_since;
  switch (m_state) {
    case State::kHead:
      if (m_head_started && age > limits.header_timeout)
        RespondWithError(kRequestTimeout);
      else if (!m_head_started &&
               age > limits.idle_timeout + kIdleTimeoutMargin)
        Close();
      break;
    case State::kBody:
      if (age > limits.idle_timeout)
        RespondWithError(kRequestTimeout);
      break;
    case State::kWriting:
      if (age > limits.idle_timeout)
        Close();
      break;
    case State::kLingering:
      if (age > kCloseLinger)
        Close();
      break;
    case State::kWaiting:
    case State::kClosed:
      break;
  }
}

}  // namespace wasabihook::gateway
