#include "peers/backend/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "peers/backend/reply_body.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using Json = nlohmann::json;

SubRequest MakeSearchRequest() {
  SubRequest request;
  request.id = SubRequestId("i1-7");
  request.team = TeamId("clerks");
  request.index_set = IndexSetId("lab-ledger");
  request.group = ShardGroupId("g3");
  request.snapshot = {IndexVersion(4), MapVersion(2)};
  request.payload = "amalgam";
  return request;
}

Json OkReplyBody() {
  return {{"request_id", "i1-7"},
          {"index_version", 4},
          {"map_version", 2},
          {"group", "g3"},
          {"records_searched", 1000},
          {"row_count", 2},
          {"rows", {{{"key", "a"}}, {{"key", "b"}}}},
          {"load", {{"running", 1}, {"queued", 2}, {"draining", true}}}};
}

ReplyHead HeadFor(const std::string& body, int status = 200) {
  ReplyHead head;
  head.AddLine("HTTP/1.1 " + std::to_string(status) + " S\r\n");
  head.AddLine("X-Request-Id: i1-7\r\n");
  head.AddLine("x-index-version: 4\r\n");
  head.AddLine("X-Map-Version: 2\r\n");
  head.AddLine("X-Shard-Group: g3\r\n");
  head.AddLine("Content-Length: " + std::to_string(body.size()) + "\r\n");
  return head;
}

DecodedReply Decode(const Json& body, int status = 200) {
  const std::string text = body.dump();
  return DecodeReply(MakeSearchRequest(), HeadFor(text, status), text);
}

// Guards against a valid reply being rejected, and against changed rows: JSON
// that a serialiser would write differently must stay as the server sent it.
TEST(BackendWireTest, DecodesReplyWithRowsAsSent) {
  const std::string row = R"({ "n": 1.50, "big": 123456789012345678901, )"
                          R"("rows": [ {"a":[]} ], "s": "\u00e9]}" })";
  const std::string body =
      R"({"extra":{"rows":[1]},"request_id":"i1-7","index_version":4,)"
      R"("map_version":2,"group":"g3","records_searched":9,"row_count":2,)"
      R"("rows":[)" +
      row + " , {} ]}";
  const DecodedReply decoded =
      DecodeReply(MakeSearchRequest(), HeadFor(body), body);
  ASSERT_EQ(ToString(decoded.reply.outcome), "ok");
  EXPECT_EQ(decoded.reply.rows, (std::vector<std::string>{row, "{}"}));
  EXPECT_EQ(decoded.reply.records_searched, 9U);
  EXPECT_FALSE(decoded.reply.load);
}

// Guards against accepting a reply that is incomplete or does not match the
// sub-request.
TEST(BackendWireTest, EachMismatchIsInvalid) {
  const auto cause_of = [](const char* member, const Json& value) {
    Json body = OkReplyBody();
    body[member] = value;
    return Decode(body).invalid;
  };
  ASSERT_FALSE(Decode(OkReplyBody()).invalid);
  EXPECT_EQ(cause_of("request_id", "i1-8"), InvalidReplyCause::kRequestId);
  EXPECT_EQ(cause_of("index_version", 5), InvalidReplyCause::kSnapshot);
  EXPECT_EQ(cause_of("map_version", 1), InvalidReplyCause::kSnapshot);
  EXPECT_EQ(cause_of("group", "g4"), InvalidReplyCause::kGroup);
  EXPECT_EQ(cause_of("row_count", 3), InvalidReplyCause::kRowCount);
  EXPECT_EQ(cause_of("row_count", -2), InvalidReplyCause::kBody);
  EXPECT_EQ(cause_of("row_count", "2"), InvalidReplyCause::kBody);
  EXPECT_EQ(cause_of("rows", {1, 2}), InvalidReplyCause::kBody);
  EXPECT_EQ(cause_of("rows", Json::object()), InvalidReplyCause::kBody);
  EXPECT_EQ(cause_of("load", 1), InvalidReplyCause::kBody);
  EXPECT_EQ(cause_of("load", {{"running", -1}}), InvalidReplyCause::kBody);
  for (const char* member :
       {"request_id", "index_version", "map_version", "group",
        "records_searched", "row_count", "rows"}) {
    Json body = OkReplyBody();
    body.erase(member);
    EXPECT_TRUE(Decode(body).invalid) << member;
  }
}

// Guards against headers that contradict the sub-request or each other.
TEST(BackendWireTest, EachHeaderIsChecked) {
  const std::string body = OkReplyBody().dump();
  const auto cause_with = [&](const std::function<void(ReplyHead*)>& change) {
    ReplyHead head = HeadFor(body);
    change(&head);
    return DecodeReply(MakeSearchRequest(), head, body).invalid;
  };
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->request_id = "other"; }),
            InvalidReplyCause::kRequestId);
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->request_id.reset(); }),
            InvalidReplyCause::kRequestId);
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->index_version = 3; }),
            InvalidReplyCause::kSnapshot);
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->map_version.reset(); }),
            InvalidReplyCause::kSnapshot);
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->group = "g1"; }),
            InvalidReplyCause::kGroup);
  EXPECT_EQ(cause_with([](ReplyHead* h) { h->content_length.reset(); }),
            InvalidReplyCause::kLength);
  for (const char* line :
       {"Content-Length: 5", "Transfer-Encoding: chunked", "X-Request-Id: x",
        "X-Index-Version: 4", "X-Map-Version: two"}) {
    EXPECT_EQ(cause_with([&](ReplyHead* h) { h->AddLine(line); }),
              InvalidReplyCause::kLength)
        << line;
  }
}

// Guards against accepting a refusal that may belong to another server or
// request: it would wrongly prove that the sub-request was not executed.
TEST(BackendWireTest, RefusalNeedsIdAndReason) {
  const Json refusal = {{"request_id", "i1-7"}, {"error", "overloaded"}};
  EXPECT_EQ(ToString(Decode(refusal, 429).reply.outcome), "overloaded");
  EXPECT_EQ(ToString(Decode(refusal, 503).reply.outcome), "invalid_reply");
  Json other = refusal;
  other["request_id"] = "i1-8";
  EXPECT_EQ(Decode(other, 429).invalid, InvalidReplyCause::kRequestId);
  EXPECT_EQ(ToString(Decode(refusal, 500).reply.outcome), "server_error");
  const Json snapshot = {
      {"request_id", "i1-7"},
      {"error", "snapshot_not_served"},
      {"newest", {{"index_version", 6}, {"map_version", 3}}}};
  EXPECT_EQ(Decode(snapshot, 409).reply.newest_snapshot,
            (SnapshotId{IndexVersion(6), MapVersion(3)}));
}

// Guards against unbounded nesting and repeated members.
TEST(BackendWireTest, RejectsDeepAndRepeatedMembers) {
  const std::string deep(config::kMaxReplyNesting, '[');
  const std::string close(config::kMaxReplyNesting, ']');
  EXPECT_FALSE(ParseReplyBody(R"({"x":)" + deep + close + "}"));
  EXPECT_FALSE(ParseReplyBody(R"({"row_count":1,"row_count":2})"));
  EXPECT_FALSE(ParseReplyBody(R"({"rows":[],"rows":[]})"));
  EXPECT_FALSE(ParseReplyBody(R"({"load":{},"load":{}})"));
  EXPECT_FALSE(ParseReplyBody(R"([{"request_id":"a"}])"));
  EXPECT_FALSE(ParseReplyBody(R"({"request_id":"a"} x)"));
}

// Guards against request text that is not escaped in the JSON body.
RC_GTEST_PROP(BackendWireTest, BodiesCarryAnyText, (std::string text)) {
  SubRequest request = MakeSearchRequest();
  request.kind = RequestKind::kOperation;
  request.payload = text;
  const Json body = Json::parse(EncodeBody(request));
  RC_ASSERT(body["operation"].is_string());
  RC_ASSERT(body.size() == 5U);
  const bool ascii = std::all_of(text.begin(), text.end(),
                                 [](char c) { return (c & 0x80) == 0; });
  if (ascii) {
    RC_ASSERT(body["operation"] == text);
  }
}

// Guards against crashes on and acceptance of arbitrary bytes.
RC_GTEST_PROP(BackendWireTest, AnyBytesAreHandled, (std::string bytes)) {
  const DecodedReply decoded =
      DecodeReply(MakeSearchRequest(), HeadFor(bytes), bytes);
  RC_ASSERT(decoded.reply.outcome == SubOutcome::kInvalidReply);
  ReplyHead head;
  head.AddLine(bytes);
  static_cast<void>(ParseReplyBody("{\"rows\":[" + bytes));
}

// Guards against accepting a corrupted body with other values than an
// independent parser reads. Bodies have up to three random edits.
RC_GTEST_PROP(BackendWireTest, CorruptedRepliesAreNeverMisread, ()) {
  std::string body = OkReplyBody().dump();
  const auto edits = *rc::gen::inRange(0, 4);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, body.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        body[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        body.erase(at, *rc::gen::inRange<size_t>(1, 20));
        break;
      default:
        body.insert(at, *rc::gen::element<std::string>(
                            "{", "}", "[", "]", ",", "\"", "1", "{}", "null",
                            R"("rows":[],)", R"("load":{},)"));
        break;
    }
  }
  const DecodedReply decoded =
      DecodeReply(MakeSearchRequest(), HeadFor(body), body);
  if (decoded.reply.outcome != SubOutcome::kOk) {
    return;
  }
  const Json parsed = Json::parse(body);
  RC_ASSERT(parsed["request_id"] == "i1-7");
  RC_ASSERT(parsed["rows"].size() == decoded.reply.rows.size());
  RC_ASSERT(parsed["row_count"] == decoded.reply.rows.size());
  for (size_t i = 0; i < decoded.reply.rows.size(); ++i) {
    RC_ASSERT(Json::parse(decoded.reply.rows[i]) == parsed["rows"][i]);
  }
}

}  // namespace
}  // namespace wasabihook
