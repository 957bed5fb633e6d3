#include "gateway/message_syntax.h"

#include <algorithm>
#include <array>

namespace wasabihook::gateway {
namespace {

constexpr char kDelete = '\x7f';
constexpr unsigned char kFirstPrintable = 0x20;

constexpr std::array<bool, 256> MakeTokenTable() {
  std::array<bool, 256> out{};
  for (int c = '0'; c <= '9'; ++c)
    out[static_cast<size_t>(c)] = true;
  for (int c = 'a'; c <= 'z'; ++c)
    out[static_cast<size_t>(c)] = true;
  for (int c = 'A'; c <= 'Z'; ++c)
    out[static_cast<size_t>(c)] = true;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~"))
    out[static_cast<unsigned char>(c)] = true;
  return out;
}

constexpr std::array<bool, 256> kTokenCharacters = MakeTokenTable();

bool IsControlCharacter(char c) {
  return (static_cast<unsigned char>(c) < kFirstPrintable && c != '\t') ||
         c == kDelete;
}

}  // namespace

const char* ToString(MessageFault fault) {
  switch (fault) {
    case MessageFault::kNone:
      return "none";
    case MessageFault::kSyntax:
      return "syntax";
    case MessageFault::kFieldName:
      return "field_name";
    case MessageFault::kLineEnd:
      return "line_end";
    case MessageFault::kFoldedLine:
      return "folded_line";
    case MessageFault::kControlCharacter:
      return "control_character";
    case MessageFault::kStatus:
      return "status";
    case MessageFault::kTransferEncoding:
      return "transfer_encoding";
    case MessageFault::kTooLarge:
      return "too_large";
    case MessageFault::kNoMemory:
      return "no_memory";
    case MessageFault::kTruncated:
      return "truncated";
  }
  return "unknown";
}

bool IsTokenCharacter(char c) {
  return kTokenCharacters[static_cast<unsigned char>(c)];
}

bool IsVisibleText(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < kDelete;
  });
}

void LineSyntax::Start() {
  m_last = '\0';
  m_expects_line_end = false;
}

MessageFault LineSyntax::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (const MessageFault fault = Check(c); fault != MessageFault::kNone)
      return fault;
    m_last = c;
  }
  return MessageFault::kNone;
}

MessageFault LineSyntax::Check(char c) {
  if (m_expects_line_end && c != '\r')
    return MessageFault::kLineEnd;
  m_expects_line_end = false;
  if ((m_last == '\r') != (c == '\n'))
    return MessageFault::kLineEnd;
  if (m_last == '\n' && (c == ' ' || c == '\t'))
    return MessageFault::kFoldedLine;
  if (c != '\r' && c != '\n' && IsControlCharacter(c))
    return MessageFault::kControlCharacter;
  return MessageFault::kNone;
}

}  // namespace wasabihook::gateway
