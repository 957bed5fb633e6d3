// Parsing of HTTP messages.

#include "gateway/http_message.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace wasabihook::gateway {
namespace {

ParseState ParseRequest(const std::string& text) {
  MessageParser parser(MessageParser::Type::kRequest);
  parser.Feed(text);
  return parser.state();
}

// Guards against request smuggling through lines that parsers interpret
// differently.
TEST(StrictHead, RejectsAmbiguousLines) {
  EXPECT_TRUE(IsStrictHead("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  EXPECT_FALSE(IsStrictHead("GET / HTTP/1.1\nHost: a\n\n"));
  EXPECT_FALSE(IsStrictHead("GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"));
  EXPECT_FALSE(IsStrictHead("GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n"));
  std::string with_nul = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  with_nul[with_nul.find('a')] = '\0';
  EXPECT_FALSE(IsStrictHead(with_nul));
}

TEST(RequestParser, RejectsTwoLengthsAndLengthWithChunks) {
  EXPECT_EQ(ParseRequest("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                         "Content-Length: 2\r\n\r\nx"),
            ParseState::kError);
  EXPECT_EQ(ParseRequest("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            ParseState::kError);
}

TEST(RequestParser, ReadsChunkedBody) {
  MessageParser parser(MessageParser::Type::kRequest);
  parser.Feed(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.body(), "abcde");
}

// Guards against bytes of a second reply that are read as part of the first
// one.
TEST(ResponseParser, LeavesBytesAfterTheMessage) {
  MessageParser parser(MessageParser::Type::kResponse);
  const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  EXPECT_EQ(parser.Feed(reply + "HTTP/1.1 200"), reply.size());
  EXPECT_EQ(parser.state(), ParseState::kComplete);
}

// Guards against a truncated reply that is taken for a complete one.
TEST(ResponseParser, ShortBodyIsAnError) {
  MessageParser parser(MessageParser::Type::kResponse);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  parser.Finish();
  EXPECT_EQ(parser.state(), ParseState::kError);
}

TEST(ResponseParser, BodyWithoutLengthEndsWithTheConnection) {
  MessageParser parser(MessageParser::Type::kResponse);
  parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc");
  EXPECT_TRUE(parser.until_close());
  EXPECT_EQ(parser.state(), ParseState::kBody);
  parser.Finish();
  EXPECT_EQ(parser.state(), ParseState::kComplete);
  EXPECT_EQ(parser.body(), "abc");
}

// Guards against results that depend on how the bytes are split between reads.
RC_GTEST_PROP(ResponseParser, ReadsAnySplitOfTheBytes, ()) {
  const std::string reply =
      "HTTP/1.1 200 OK\r\nX-Server-Stamp: 1.2\r\nContent-Length: 4\r\n\r\nbody";
  const auto cut = *rc::gen::inRange<size_t>(0, reply.size());
  MessageParser parser(MessageParser::Type::kResponse);
  const std::string_view text(reply);
  const size_t first = parser.Feed(text.substr(0, cut));
  RC_ASSERT(first == cut);
  parser.Feed(text.substr(cut));
  RC_ASSERT(parser.state() == ParseState::kComplete);
  RC_ASSERT(parser.body() == "body");
  RC_ASSERT(parser.headers().Find("x-server-stamp") == "1.2");
}

TEST(HopByHop, CoversFieldsThatConnectionNames) {
  EXPECT_TRUE(IsHopByHop("keep-alive", ""));
  EXPECT_TRUE(IsHopByHop("X-Trace", "close, x-trace"));
  EXPECT_FALSE(IsHopByHop("X-Trace", "close"));
}

}  // namespace
}  // namespace wasabihook::gateway
