#ifndef SRC_GATEWAY_HTTP_MESSAGE_H_
#define SRC_GATEWAY_HTTP_MESSAGE_H_

// PRIVATE HEADER. HTTP/1.1 messages, parsed with the http_parser library.

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/buffered_bytes.h"
#include "gateway/message_syntax.h"

namespace wasabihook::gateway {

bool EqualsIgnoreCase(std::string_view a, std::string_view b);

// Header fields in the order received, stored in one buffer that is reused
// between messages.
class HeaderList {
 public:
  struct Field {
    std::string_view name;
    std::string_view value;
  };

  // Forgets the fields. Memory is kept for the next message unless it is large.
  void Clear();
  size_t held_bytes() const {
    return m_text.capacity() + m_entries.capacity() * sizeof(Entry);
  }
  void AppendName(std::string_view part);
  void AppendValue(std::string_view part);
  size_t size() const { return m_entries.size(); }
  Field at(size_t index) const;
  // Value of the first field with this name, compared case-insensitively.
  // Returns a view with a null pointer if there is none.
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Find(name).data() != nullptr; }
  size_t Count(std::string_view name) const;

 private:
  struct Entry {
    uint32_t name = 0;
    uint32_t name_size = 0;
    uint32_t value = 0;
    uint32_t value_size = 0;
  };
  std::string m_text;
  std::vector<Entry> m_entries;
  bool m_in_value = true;
};

// Hop-by-hop fields of a message, which must not be forwarded.
class HopByHopFields {
 public:
  // `connection`: value of the Connection field, which may name further ones.
  explicit HopByHopFields(std::string_view connection);
  bool Contains(std::string_view name) const;

 private:
  // In lower case, sorted.
  std::vector<std::string> m_named;
};

enum class ParseState : uint8_t { kHead, kBody, kComplete, kError };

// Bounds on one message, so that a peer that sends without end cannot exhaust
// the memory of the process.
struct MessageLimits {
  // Head and trailer together.
  size_t max_head_bytes = std::numeric_limits<size_t>::max();
  size_t max_body_bytes = std::numeric_limits<size_t>::max();
  // Shared with the messages of other connections; may be null.
  std::shared_ptr<BufferedBytes> buffered{};
};

// Incremental parser. Stops at the end of each message and leaves the bytes
// that follow it unread.
class MessageParser : public BufferHolder {
 public:
  enum class Type : uint8_t { kRequest, kResponse };

  // A message that exceeds a limit is an error.
  explicit MessageParser(Type type, const MessageLimits& limits = {});
  ~MessageParser() override { ReleaseReserved(); }
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Prepares for the next message. `head_only`: the message is a response to
  // HEAD, so it has no body whatever its header fields state.
  void Start(bool head_only = false);
  // Returns the number of bytes consumed, all of which belong to the message.
  size_t Feed(std::string_view data);
  // The connection was closed in order. Completes a response whose body ends
  // with the connection.
  void Finish();

  ParseState state() const { return m_state; }
  // Why the state is kError.
  MessageFault fault() const { return m_fault; }
  // At least one byte of the message was read.
  bool started() const { return m_started; }
  // Fields of the head. Those of a trailer are dropped.
  const HeaderList& headers() const { return m_headers; }
  const std::string& body() const { return m_body; }
  std::string TakeBody();
  // Content-Length of the head; 0 if it has none.
  uint64_t announced_body_bytes() const;
  const std::string& target() const { return m_target; }
  std::string_view method() const;
  int status() const { return static_cast<int>(m_parser.status_code); }
  bool keep_alive() const { return m_keep_alive; }
  // The body has neither a length nor a chunked encoding; it ends with the
  // connection.
  bool until_close() const { return m_until_close; }

  size_t held_bytes() const override;
  void Evict() override;

 private:
  static MessageParser* Self(http_parser* parser) {
    return static_cast<MessageParser*>(parser->data);
  }
  static const http_parser_settings& Settings();
  int OnFieldName(std::string_view part);
  int OnFieldValue(std::string_view part);
  int OnTrailer(std::string_view part);
  int OnHeadersComplete();
  int OnMessageComplete();
  int OnBody(std::string_view data);
  // Checks the bytes from m_unchecked to `end`, which are no body data.
  int CheckLines(const char* end);
  // Checks the fields that determine the length of the message.
  MessageFault CheckFraming() const;
  // Sets the state and returns the value with which a callback ends the parser.
  int Reject(MessageFault fault);
  // Reserves the memory of a message that is not complete yet.
  void Reserve();
  void ReleaseReserved();
  // Frees the memory of a large message.
  void Clear();

  const Type m_type;
  const MessageLimits m_limits;
  http_parser m_parser{};
  ParseState m_state = ParseState::kHead;
  MessageFault m_fault = MessageFault::kNone;
  // "HTTP/1.1 200" and the byte behind it, of a response.
  std::string m_status_line_start;
  LineSyntax m_lines;
  // First byte of the present Feed() that m_lines has not checked.
  const char* m_unchecked = nullptr;
  bool m_started = false;
  bool m_head_only = false;
  bool m_keep_alive = false;
  bool m_until_close = false;
  // Bytes of the head, and of the fields of the trailer.
  size_t m_head_bytes = 0;
  HeaderList m_headers;
  std::string m_target;
  std::string m_body;
  // Part of m_limits.buffered.
  size_t m_reserved_bytes = 0;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_HTTP_MESSAGE_H_
