#include "gateway/http_message.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>

namespace wasabihook::gateway {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",        "Keep-Alive",
    "Proxy-Connection",  "TE",
    "Trailer",           "Transfer-Encoding",
    "Upgrade",           "Proxy-Authorization",
    "Proxy-Authenticate"};

// Longest head, trailer and chunk header that http_parser accepts. Callers and
// servers have smaller limits of their own.
constexpr uint32_t kParserMaxHead = 256 * 1024;

constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
// Length of "HTTP/1.1 200" and of the byte behind it, which ends the status
// (RFC 9112, 4: three digits).
constexpr size_t kStatusLineStart = 13;
constexpr uint64_t kNoContentLength = std::numeric_limits<uint64_t>::max();
constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
constexpr std::string_view kChunked = "chunked";
// Memory for fields, and for a body, that is kept from message to message.
constexpr size_t kMaxKeptBytes = size_t{8} * 1024;
// Results of callbacks: no body follows the head, and a message that is not
// valid.
constexpr int kSkipBody = 1;
constexpr int kStopParsing = -1;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// True if the response body ends with the connection.
bool IsUntilClose(const http_parser& parser) {
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  constexpr unsigned kFirstFinalStatus = 200;
  return (parser.flags & F_CHUNKED) == 0 &&
         parser.content_length == kNoContentLength &&
         parser.status_code >= kFirstFinalStatus &&
         parser.status_code != kNoContent && parser.status_code != kNotModified;
}

std::string ToLower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void HeaderList::Clear() {
  m_text.clear();
  m_entries.clear();
  if (held_bytes() > kMaxKeptBytes) {
    m_text.shrink_to_fit();
    m_entries.shrink_to_fit();
  }
  m_in_value = true;
}

void HeaderList::AppendName(std::string_view part) {
  if (m_in_value) {
    m_entries.push_back({.name = static_cast<uint32_t>(m_text.size())});
    m_in_value = false;
  }
  m_text.append(part);
  m_entries.back().name_size += static_cast<uint32_t>(part.size());
}

void HeaderList::AppendValue(std::string_view part) {
  if (m_entries.empty())
    return;
  Entry& entry = m_entries.back();
  if (!m_in_value) {
    entry.value = static_cast<uint32_t>(m_text.size());
    m_in_value = true;
  }
  m_text.append(part);
  entry.value_size += static_cast<uint32_t>(part.size());
}

HeaderList::Field HeaderList::at(size_t index) const {
  const Entry& entry = m_entries[index];
  const std::string_view text(m_text);
  return {text.substr(entry.name, entry.name_size),
          text.substr(entry.value, entry.value_size)};
}

std::string_view HeaderList::Find(std::string_view name) const {
  for (size_t i = 0; i < m_entries.size(); ++i) {
    if (m_entries[i].name_size != name.size())
      continue;
    if (const Field field = at(i); EqualsIgnoreCase(field.name, name))
      return field.value;
  }
  return {};
}

size_t HeaderList::Count(std::string_view name) const {
  size_t count = 0;
  for (size_t i = 0; i < m_entries.size(); ++i)
    count += EqualsIgnoreCase(at(i).name, name) ? 1 : 0;
  return count;
}

HopByHopFields::HopByHopFields(std::string_view connection) {
  while (!connection.empty()) {
    const size_t comma = connection.find(',');
    if (const auto name = Trim(connection.substr(0, comma)); !name.empty())
      m_named.push_back(ToLower(name));
    connection.remove_prefix(comma == std::string_view::npos ? connection.size()
                                                             : comma + 1);
  }
  std::sort(m_named.begin(), m_named.end());
}

bool HopByHopFields::Contains(std::string_view name) const {
  const bool known = std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view other) { return EqualsIgnoreCase(name, other); });
  return known ||
         (!m_named.empty() &&
          std::binary_search(m_named.begin(), m_named.end(), ToLower(name)));
}

MessageParser::MessageParser(Type type, const MessageLimits& limits)
    : m_type(type), m_limits(limits) {
  http_parser_set_max_header_size(kParserMaxHead);
  Start();
}

void MessageParser::Start(bool head_only) {
  http_parser_init(&m_parser,
                   m_type == Type::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_state = ParseState::kHead;
  m_fault = MessageFault::kNone;
  m_lines.Start();
  m_started = false;
  m_head_only = head_only;
  m_keep_alive = false;
  m_until_close = false;
  m_target.clear();
  m_status_line_start.clear();
  m_head_bytes = 0;
  Clear();
}

void MessageParser::Clear() {
  m_headers.Clear();
  m_body.clear();
  if (m_body.capacity() > kMaxKeptBytes)
    m_body.shrink_to_fit();
  ReleaseReserved();
}

size_t MessageParser::held_bytes() const {
  return m_headers.held_bytes() + m_body.capacity();
}

void MessageParser::Reserve() {
  const size_t held = held_bytes();
  if (m_limits.buffered == nullptr || held <= m_reserved_bytes)
    return;
  if (!m_limits.buffered->Reserve(this, held - m_reserved_bytes)) {
    Evict();
    return;
  }
  m_reserved_bytes = held;
}

void MessageParser::ReleaseReserved() {
  if (m_reserved_bytes > 0)
    m_limits.buffered->Release(this, m_reserved_bytes);
  m_reserved_bytes = 0;
}

void MessageParser::Evict() {
  Clear();
  Reject(MessageFault::kNoMemory);
}

uint64_t MessageParser::announced_body_bytes() const {
  return m_state == ParseState::kBody &&
                 m_parser.content_length != kNoContentLength
             ? m_parser.content_length
             : 0;
}

std::string MessageParser::TakeBody() {
  return std::move(m_body);
}

int MessageParser::Reject(MessageFault fault) {
  m_state = ParseState::kError;
  if (m_fault == MessageFault::kNone)
    m_fault = fault;
  return kStopParsing;
}

int MessageParser::CheckLines(const char* end) {
  const MessageFault fault =
      m_lines.Feed({m_unchecked, static_cast<size_t>(end - m_unchecked)});
  m_unchecked = end;
  return fault == MessageFault::kNone ? 0 : Reject(fault);
}

// The library allows spaces in names, and acts on "Transfer-Encoding " and
// "Content-Length " as if they were none.
int MessageParser::OnFieldName(std::string_view part) {
  if (!std::all_of(part.begin(), part.end(), &IsTokenCharacter))
    return Reject(MessageFault::kFieldName);
  if (m_state != ParseState::kHead)
    return OnTrailer(part);
  m_headers.AppendName(part);
  return 0;
}

int MessageParser::OnFieldValue(std::string_view part) {
  if (m_state != ParseState::kHead)
    return OnTrailer(part);
  m_headers.AppendValue(part);
  return 0;
}

// RFC 9110, 6.5.1: fields of a trailer must not be taken for fields of the
// head.
int MessageParser::OnTrailer(std::string_view part) {
  m_head_bytes += part.size();
  return m_head_bytes > m_limits.max_head_bytes
             ? Reject(MessageFault::kTooLarge)
             : 0;
}

int MessageParser::OnBody(std::string_view data) {
  if (CheckLines(data.data()) != 0)
    return kStopParsing;
  m_unchecked = data.data() + data.size();
  // The library does not check the two bytes after the data of a chunk.
  if ((m_parser.flags & F_CHUNKED) != 0 && m_parser.content_length == 0)
    m_lines.ExpectLineEnd();
  if (m_body.size() + data.size() > m_limits.max_body_bytes)
    return Reject(MessageFault::kTooLarge);
  m_body.append(data);
  return 0;
}

const http_parser_settings& MessageParser::Settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings out{};
    http_parser_settings_init(&out);
    out.on_url = [](http_parser* parser, const char* data, size_t size) {
      Self(parser)->m_target.append(data, size);
      return 0;
    };
    out.on_header_field = [](http_parser* parser, const char* data,
                             size_t size) {
      return Self(parser)->OnFieldName({data, size});
    };
    out.on_header_value = [](http_parser* parser, const char* data,
                             size_t size) {
      return Self(parser)->OnFieldValue({data, size});
    };
    out.on_headers_complete = [](http_parser* parser) {
      return Self(parser)->OnHeadersComplete();
    };
    out.on_body = [](http_parser* parser, const char* data, size_t size) {
      return Self(parser)->OnBody({data, size});
    };
    out.on_message_complete = [](http_parser* parser) {
      return Self(parser)->OnMessageComplete();
    };
    return out;
  }();
  return settings;
}

MessageFault MessageParser::CheckFraming() const {
  // The library takes any number of digits for a status.
  if (m_type == Type::kResponse &&
      (m_parser.status_code < kFirstStatus ||
       m_parser.status_code > kLastStatus ||
       m_status_line_start.size() < kStatusLineStart ||
       std::isdigit(static_cast<unsigned char>(m_status_line_start.back())) !=
           0))
    return MessageFault::kStatus;
  // The library decodes the chunks of "gzip, chunked" and leaves the rest.
  const size_t codings = m_headers.Count(kTransferEncoding);
  if (codings > 1 ||
      (codings == 1 &&
       !EqualsIgnoreCase(Trim(m_headers.Find(kTransferEncoding)), kChunked)))
    return MessageFault::kTransferEncoding;
  return MessageFault::kNone;
}

int MessageParser::OnHeadersComplete() {
  if (const MessageFault fault = CheckFraming(); fault != MessageFault::kNone)
    return Reject(fault);
  m_state = ParseState::kBody;
  m_keep_alive = http_should_keep_alive(&m_parser) != 0;
  if (m_type == Type::kResponse && !m_head_only)
    m_until_close = IsUntilClose(m_parser);
  return m_head_only ? kSkipBody : 0;
}

int MessageParser::OnMessageComplete() {
  m_state = ParseState::kComplete;
  http_parser_pause(&m_parser, 1);
  return 0;
}

size_t MessageParser::Feed(std::string_view data) {
  if (m_state == ParseState::kComplete || m_state == ParseState::kError)
    return 0;
  if (data.empty())
    return 0;
  // The library skips empty lines, which only a request may follow.
  if (!m_started && m_type == Type::kResponse && data.front() != 'H') {
    Reject(MessageFault::kSyntax);
    return 0;
  }
  m_started = true;
  if (m_type == Type::kResponse &&
      m_status_line_start.size() < kStatusLineStart)
    m_status_line_start.append(
        data.substr(0, kStatusLineStart - m_status_line_start.size()));
  m_unchecked = data.data();
  const size_t used =
      http_parser_execute(&m_parser, &Settings(), data.data(), data.size());
  const auto error = HTTP_PARSER_ERRNO(&m_parser);
  if (m_state == ParseState::kError || CheckLines(data.data() + used) != 0)
    return used;
  if (m_state == ParseState::kHead) {
    m_head_bytes += used;
    if (m_head_bytes > m_limits.max_head_bytes)
      Reject(MessageFault::kTooLarge);
  }
  if (m_state == ParseState::kComplete) {
    if (error == HPE_PAUSED)
      http_parser_pause(&m_parser, 0);
    ReleaseReserved();
    return used;
  }
  if (error != HPE_OK || m_parser.upgrade != 0)
    Reject(MessageFault::kSyntax);
  else
    Reserve();
  return used;
}

void MessageParser::Finish() {
  if (m_state == ParseState::kBody && m_until_close) {
    http_parser_execute(&m_parser, &Settings(), nullptr, 0);
    if (m_state == ParseState::kComplete)
      return;
  }
  if (m_state != ParseState::kComplete)
    Reject(MessageFault::kTruncated);
}

std::string_view MessageParser::method() const {
  return http_method_str(static_cast<http_method>(m_parser.method));
}

}  // namespace wasabihook::gateway
