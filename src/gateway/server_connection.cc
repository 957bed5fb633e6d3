#include "gateway/server_connection.h"

#include <sys/epoll.h>

#include <array>
#include <cerrno>
#include <utility>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

constexpr size_t kReadBufferBytes = size_t{64} * 1024;

// All connections are read on one thread, so they share a buffer.
std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace

ServerConnection::ServerConnection(EventLoop* loop,
                                   ConnectionOwner* owner,
                                   const std::string& address,
                                   const std::string* request_id_field,
                                   const TcpTimeouts& timeouts,
                                   const MessageLimits& limits)
    : m_loop(loop),
      m_owner(owner),
      m_request_id_field(request_id_field),
      m_socket(ConnectTo(address, timeouts)),
      m_parser(MessageParser::Type::kResponse, limits),
      m_opened_at(loop->Now()),
      m_idle_since(loop->Now()) {
  if (m_socket.open())
    m_loop->Watch(m_socket.fd(), EPOLLOUT, this);
}

ServerConnection::~ServerConnection() {
  Close();
}

void ServerConnection::Close() {
  if (!m_socket.open())
    return;
  m_loop->Unwatch(m_socket.fd());
  m_socket.Close();
}

void ServerConnection::Send(std::string bytes,
                            std::string request_id,
                            bool head_only,
                            std::optional<TimePoint> start_before,
                            std::shared_ptr<const std::string> shared_body) {
  m_output = std::move(bytes);
  m_shared_body = std::move(shared_body);
  m_output_sent = 0;
  m_request_id = std::move(request_id);
  m_head_only = head_only;
  m_sent_head_request = m_sent_head_request || head_only;
  m_start_before = start_before;
  m_skipped_bytes = 0;
  m_unclaimed = false;
  m_busy = true;
  m_request_started = false;
  m_sent_at = m_loop->Now();
  m_parser.Start(head_only);
  if (m_connected)
    Flush();
}

void ServerConnection::SetWriting(bool writing) {
  if (writing == m_writing)
    return;
  m_writing = writing;
  m_loop->UpdateWatch(m_socket.fd(), writing ? EPOLLIN | EPOLLOUT : EPOLLIN,
                      this);
}

size_t ServerConnection::OutputSize() const {
  return m_output.size() +
         (m_shared_body != nullptr ? m_shared_body->size() : 0);
}

std::string_view ServerConnection::Unsent() const {
  if (m_output_sent < m_output.size())
    return std::string_view(m_output).substr(m_output_sent);
  return std::string_view(*m_shared_body)
      .substr(m_output_sent - m_output.size());
}

// A write error is not reported here but at the end of the stream, so that what
// the server has sent before is read. The failed write takes the error off the
// socket, and a read then reports the end as if it were in order.
void ServerConnection::Flush() {
  while (m_output_sent < OutputSize()) {
    const IoResult result = WriteSome(m_socket.fd(), Unsent());
    if (result.status != IoStatus::kOk) {
      m_write_failed = result.status != IoStatus::kWouldBlock;
      SetWriting(!m_write_failed);
      return;
    }
    m_output_sent += result.bytes;
    m_request_started = true;
  }
  SetWriting(false);
}

void ServerConnection::FinishConnect(uint32_t events) {
  // The error is only asked for if there is one, which saves a system call for
  // each of the hundreds of connections of a query.
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
    if (const int error = TakeSocketError(m_socket.fd()); error != 0) {
      m_refused = error == ECONNREFUSED || error == ECONNRESET;
      OnStreamEnd(false);
      return;
    }
  }
  m_connected = true;
  m_idle_since = m_loop->Now();
  const bool expired =
      m_busy && m_start_before && m_loop->Now() > *m_start_before;
  if (expired) {
    m_owner->OnConnected(*this);
    Fail(WireOutcome::kNotSent, false);
    return;
  }
  if (m_busy)
    Flush();
  else
    SetWriting(false);
  m_owner->OnConnected(*this);
}

void ServerConnection::OnIo(uint32_t events) {
  if (!m_socket.open())
    return;
  if (!m_connected) {
    FinishConnect(events);
    return;
  }
  if ((events & EPOLLOUT) != 0)
    Flush();
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
    Read();
}

void ServerConnection::Abort() {
  if (m_socket.open())
    OnStreamEnd(false);
}

void ServerConnection::Read() {
  auto& buffer = ReadBuffer();
  while (m_socket.open()) {
    const IoResult result =
        ReadSome(m_socket.fd(), buffer.data(), buffer.size());
    if (result.status == IoStatus::kWouldBlock)
      return;
    if (result.status != IoStatus::kOk) {
      OnStreamEnd(result.status == IoStatus::kClosed);
      return;
    }
    if (!Consume({buffer.data(), result.bytes}) || result.bytes < buffer.size())
      return;
  }
}

bool ServerConnection::Consume(std::string_view data) {
  while (!data.empty()) {
    if (!m_busy) {
      // Unsolicited bytes must not be taken for the reply to the next request.
      Fail(WireOutcome::kInvalidReply, true);
      return false;
    }
    const size_t used = m_parser.Feed(data);
    data.remove_prefix(used);
    m_skipped_bytes += used;
    if (!HandleMessage(data))
      return false;
  }
  return true;
}

bool ServerConnection::HandleMessage(std::string_view rest) {
  switch (m_parser.state()) {
    case ParseState::kError:
      Fail(WireOutcome::kInvalidReply, true);
      return false;
    case ParseState::kHead:
      return true;
    case ParseState::kBody:
    case ParseState::kComplete:
      break;
  }
  const bool complete = m_parser.state() == ParseState::kComplete;
  switch (Claim()) {
    case ReplyClaim::kOwn:
      if (complete)
        OnReplyComplete(rest);
      return !complete;
    case ReplyClaim::kInterim:
    case ReplyClaim::kEarlier:
      if (m_skipped_bytes <= kMaxSkippedReplyBytes) {
        if (complete)
          m_parser.Start(m_head_only);
        return true;
      }
      break;
    case ReplyClaim::kUnknown:
      m_unclaimed = true;
      break;
  }
  Fail(WireOutcome::kInvalidReply, true);
  return false;
}

ReplyClaim ServerConnection::Claim() const {
  // Replies of the store and of other instances have no id.
  if (m_request_id_field->empty())
    return DecideClaim({.status = m_parser.status()});
  const HeaderList& headers = m_parser.headers();
  return DecideClaim(
      {.status = m_parser.status(),
       .ids = headers.Count(*m_request_id_field),
       .id_matches = headers.Find(*m_request_id_field) == m_request_id,
       .reused = m_reused,
       .delimited = m_parser.keep_alive() && !m_sent_head_request});
}

void ServerConnection::OnReplyComplete(std::string_view rest) {
  m_busy = false;
  m_reused = true;
  m_idle_since = m_loop->Now();
  // The connection can't be reused if extra bytes follow the reply, if the
  // reply came before the whole request was sent, or if it announces the close.
  m_must_close =
      !rest.empty() || m_output_sent < OutputSize() || !m_parser.keep_alive();
  m_output.clear();
  m_shared_body.reset();
  m_output_sent = 0;
  if (m_must_close)
    Close();
  m_owner->OnRequestEnd(*this, WireOutcome::kReply);
  if (!m_socket.open())
    m_owner->OnClosed(*this, false);
}

void ServerConnection::OnStreamEnd(bool read_end) {
  // RFC 9112, 8: a reply that ends with its connection is incomplete if the
  // connection has failed.
  const bool orderly = read_end && !m_write_failed;
  if (m_busy && orderly) {
    m_parser.Finish();
    if (m_parser.state() == ParseState::kComplete) {
      HandleMessage({});
      return;
    }
  }
  m_ended_idle = !m_busy && m_reused;
  const bool failed = m_busy || !orderly;
  Fail(m_request_started ? WireOutcome::kLost : WireOutcome::kNotSent, failed);
}

void ServerConnection::Fail(WireOutcome outcome, bool failed) {
  Close();
  const bool was_busy = m_busy;
  m_busy = false;
  if (was_busy)
    m_owner->OnRequestEnd(*this, outcome);
  m_owner->OnClosed(*this, failed);
}

}  // namespace wasabihook::gateway
