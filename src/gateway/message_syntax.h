#ifndef SRC_GATEWAY_MESSAGE_SYNTAX_H_
#define SRC_GATEWAY_MESSAGE_SYNTAX_H_

// PRIVATE HEADER. Syntax of HTTP/1.1 messages that the parser library does not
// enforce. A recipient that reads such a message differently would see other
// fields, or another end of the message. docs/http-messages.md lists the forms
// that are rejected.

#include <cstdint>
#include <string_view>

namespace wasabihook::gateway {

// Reason for which a message is not valid.
enum class MessageFault : uint8_t {
  kNone,
  kSyntax,            // Reported by the parser library.
  kFieldName,         // RFC 9110, 5.1: a character that no token has.
  kLineEnd,           // RFC 9112, 2.2 and 7.1: no CRLF, or a bare CR or LF.
  kFoldedLine,        // RFC 9112, 5.2: a line that continues a field.
  kControlCharacter,  // RFC 9110, 5.5: outside of the body.
  kStatus,            // RFC 9110, 15: outside 100 to 599.
  kTransferEncoding,  // RFC 9112, 6.1: anything else than "chunked" once.
  kTooLarge,          // Exceeds a limit of the recipient.
  kNoMemory,          // Evicted; see BufferedBytes.
  kTruncated,         // The connection ended within the message.
};
const char* ToString(MessageFault fault);

// True for the characters of a token (RFC 9110, 5.6.2).
bool IsTokenCharacter(char c);
// True for text of visible ASCII characters that can be the value of a field.
bool IsVisibleText(std::string_view text);

// Checks the lines of a message: start line, fields, chunk headers and trailer,
// without the data of the body.
class LineSyntax {
 public:
  // Prepares for the next message.
  void Start();
  // Checks the bytes that follow those of the last call.
  MessageFault Feed(std::string_view bytes);
  // The data of a chunk ends here, so an empty rest of a line follows.
  void ExpectLineEnd() { m_expects_line_end = true; }

 private:
  MessageFault Check(char c);

  char m_last = '\0';
  bool m_expects_line_end = false;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_MESSAGE_SYNTAX_H_
