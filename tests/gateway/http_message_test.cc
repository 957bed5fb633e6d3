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

struct MalformedCase {
  const char* name;
  MessageFault fault;
  // Without the start line and the empty line at the end.
  std::string fields;
};

// Each is one wrong byte or line in an otherwise valid head.
const MalformedCase kMalformedHeads[] = {
    {"SpaceBeforeColon", MessageFault::kFieldName, "X-A : b\r\n"},
    {"SpaceInName", MessageFault::kFieldName, "X A: b\r\n"},
    {"SpaceAfterTransferEncoding", MessageFault::kFieldName,
     "Transfer-Encoding : chunked\r\n"},
    {"SpaceAfterContentLength", MessageFault::kFieldName,
     "Content-Length : 0\r\n"},
    {"TabInName", MessageFault::kSyntax, "X-A\t: b\r\n"},
    {"BareLf", MessageFault::kLineEnd, "X-A: b\n"},
    {"BareCr", MessageFault::kSyntax, "X-A: b\rc\r\n"},
    {"FoldedLine", MessageFault::kFoldedLine, "X-A: b\r\n c\r\n"},
    {"Nul", MessageFault::kSyntax, std::string("X-A: b\0c\r\n", 10)},
    {"Delete", MessageFault::kSyntax, "X-A: b\x7f\r\n"},
    {"EmptyLength", MessageFault::kSyntax, "Content-Length:\r\n"},
    {"SignedLength", MessageFault::kSyntax, "Content-Length: +1\r\n"},
    {"TwoLengths", MessageFault::kSyntax,
     "Content-Length: 0\r\nContent-Length: 1\r\n"},
    {"LengthAndChunks", MessageFault::kSyntax,
     "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"},
    {"OtherCoding", MessageFault::kTransferEncoding,
     "Transfer-Encoding: gzip, chunked\r\n"},
    {"ChunkedTwice", MessageFault::kTransferEncoding,
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
};

class MalformedHeadTest : public ::testing::TestWithParam<MalformedCase> {
 protected:
  // Feeds `text` in two parts cut at each position.
  static void ExpectFault(MessageParser::Type type, const std::string& text) {
    for (size_t cut = 0; cut <= text.size(); ++cut) {
      MessageParser parser(type);
      parser.Feed(std::string_view(text).substr(0, cut));
      parser.Feed(std::string_view(text).substr(cut));
      EXPECT_EQ(parser.state(), ParseState::kError) << "cut at " << cut;
      EXPECT_EQ(parser.fault(), GetParam().fault)
          << ToString(parser.fault()) << ", cut at " << cut;
    }
  }
};

// Guards against a reply whose invalid fields are passed on to the caller.
TEST_P(MalformedHeadTest, IsNoReply) {
  ExpectFault(MessageParser::Type::kResponse,
              "HTTP/1.1 200 OK\r\nX-B: c\r\n" + GetParam().fields + "\r\n");
}

// Guards against request smuggling through fields and lines that the next
// server reads differently.
TEST_P(MalformedHeadTest, IsNoRequest) {
  ExpectFault(MessageParser::Type::kRequest,
              "POST / HTTP/1.1\r\nHost: a\r\n" + GetParam().fields + "\r\n");
}

INSTANTIATE_TEST_SUITE_P(All,
                         MalformedHeadTest,
                         ::testing::ValuesIn(kMalformedHeads),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

MessageFault FaultOfReply(const std::string& text) {
  MessageParser parser(MessageParser::Type::kResponse);
  parser.Feed(text);
  return parser.fault();
}

// Guards against chunks of another length than their header says, which the
// library reads as if the two bytes after them were a line end.
TEST(ResponseParser, RejectsChunksWithoutTheirLineEnd) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  EXPECT_EQ(FaultOfReply(head + "3\r\nabc\r\n0\r\n\r\n"), MessageFault::kNone);
  EXPECT_EQ(FaultOfReply(head + "3\r\nabcXY0\r\n\r\n"), MessageFault::kLineEnd);
  EXPECT_EQ(FaultOfReply(head + "1\r\nabc0\r\n\r\n"), MessageFault::kLineEnd);
  EXPECT_EQ(FaultOfReply(head + "3\nabc\r\n0\r\n\r\n"), MessageFault::kSyntax);
  EXPECT_EQ(FaultOfReply(head + "3\r\nabc\r\n0\r\n\rX"),
            MessageFault::kLineEnd);
}

// Guards against a status that is skipped like an interim reply, and against
// bytes before the status line.
TEST(ResponseParser, RejectsOtherStatusLines) {
  const std::string rest = " OK\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(FaultOfReply("HTTP/1.1 200" + rest), MessageFault::kNone);
  EXPECT_EQ(FaultOfReply("HTTP/1.1 20" + rest), MessageFault::kStatus);
  EXPECT_EQ(FaultOfReply("HTTP/1.1 600" + rest), MessageFault::kStatus);
  EXPECT_EQ(FaultOfReply("\r\nHTTP/1.1 200" + rest), MessageFault::kSyntax);
  EXPECT_EQ(FaultOfReply("HTTP/1.1 200 OK\rXContent-Length: 0\r\n\r\n"),
            MessageFault::kLineEnd);
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
  EXPECT_TRUE(HopByHopFields("").Contains("keep-alive"));
  EXPECT_TRUE(HopByHopFields("close, x-trace").Contains("X-Trace"));
  EXPECT_FALSE(HopByHopFields("close").Contains("X-Trace"));
}

}  // namespace
}  // namespace wasabihook::gateway
