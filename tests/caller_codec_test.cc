#include "peers/caller/caller_codec.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

namespace wasabihook::caller {
namespace {

using nlohmann::json;

const RequestId kId("r-1");

HttpRequest SearchRequest(std::string body) {
  return {.method = "POST",
          .path = "/v1/search",
          .query = {},
          .headers = {},
          .body = std::move(body),
          .refused_status = std::nullopt};
}

HttpRequest OperationRequest() {
  HttpRequest request = SearchRequest(
      R"({"team":"t","index_set":"i","record_key":"k","operation":{"b":1,"a":2}})");
  request.path = "/v1/operations";
  request.headers = {{"idempotency-key", "key-1"},
                     {"Idempotency-Issued-At", "1700000000000"}};
  return request;
}

constexpr char kSearchBody[] =
    R"({"team":"t","index_set":"i","query":"blue frame"})";

// Returns the status and message of the error, or "" if the request is valid.
std::string DecodeError(const HttpRequest& request) {
  try {
    DecodeRequest(request, kId);
    return "";
  } catch (const InvalidRequest& error) {
    return std::to_string(error.status()) + " " + error.what();
  }
}

// Guards against a member that is lost or swapped during decoding.
TEST(CallerCodec, DecodesEachKind) {
  HttpRequest search = SearchRequest(kSearchBody);
  search.headers = {{"x-deadline-ms", "250"}};
  const CallerRequest decoded = DecodeRequest(search, kId);
  EXPECT_EQ(decoded.kind, RequestKind::kSearch);
  EXPECT_EQ(decoded.id, kId);
  EXPECT_EQ(decoded.team.value(), "t");
  EXPECT_EQ(decoded.index_set.value(), "i");
  EXPECT_EQ(decoded.payload, "blue frame");
  EXPECT_EQ(decoded.timeout, std::chrono::milliseconds(250));

  HttpRequest fetch =
      SearchRequest(R"({"team":"t","index_set":"i","record_key":"k"})");
  fetch.path = "/v1/fetch";
  EXPECT_EQ(DecodeRequest(fetch, kId).record_key, "k");

  const CallerRequest operation = DecodeRequest(OperationRequest(), kId);
  EXPECT_EQ(operation.kind, RequestKind::kOperation);
  EXPECT_EQ(operation.idempotency_key.value(), "key-1");
  EXPECT_EQ(operation.issued_at.since_unix_epoch.count(), 1700000000000);
}

// Guards against a retry with reordered members that gets another fingerprint
// and therefore a conflict instead of the recorded outcome.
TEST(CallerCodec, OperationHasOneCanonicalForm) {
  HttpRequest reordered = OperationRequest();
  reordered.body =
      R"({ "operation":{"a":2, "b":1},"record_key":"k","index_set":"i","team":"t"})";
  EXPECT_EQ(DecodeRequest(reordered, kId).payload,
            DecodeRequest(OperationRequest(), kId).payload);
}

// Guards against malformed bodies that are accepted or get an unclear error.
TEST(CallerCodec, RejectsBadBodies) {
  EXPECT_EQ(DecodeError(SearchRequest("{\"team\":")),
            "400 The body is not valid JSON.");
  EXPECT_EQ(DecodeError(SearchRequest("")), "400 The body is not valid JSON.");
  EXPECT_EQ(DecodeError(SearchRequest("{\"team\":\"\xff\"}")),
            "400 The body is not valid JSON.");
  EXPECT_EQ(DecodeError(SearchRequest("[]")),
            "400 The body is not a JSON object.");
  EXPECT_EQ(DecodeError(SearchRequest(R"({"index_set":"i","query":"q"})")),
            "400 The member \"team\" is missing.");
  EXPECT_EQ(
      DecodeError(SearchRequest(R"({"team":1,"index_set":"i","query":"q"})")),
      "400 The member \"team\" is not a string.");
  EXPECT_EQ(
      DecodeError(SearchRequest(R"({"team":"","index_set":"i","query":"q"})")),
      "400 The member \"team\" has no text.");
  EXPECT_EQ(DecodeError(SearchRequest(
                R"({"team":"t","index_set":"i","query":"q","x":1})")),
            "400 The body has an unknown member.");
  EXPECT_EQ(DecodeError(SearchRequest(
                R"({"team":"t","team":"u","index_set":"i","query":"q"})")),
            "400 The body has a repeated member.");
  EXPECT_EQ(DecodeError(SearchRequest(std::string(5000, '['))),
            "400 The body is nested too deeply.");
  EXPECT_EQ(DecodeError(SearchRequest(
                R"({"index_set":"i","query":"q","team":")" +
                std::string(config::kMaxIdBytes + 1, 't') + "\"}")),
            "400 The member \"team\" has too much text.");
}

// Guards against invalid deadlines and ids that are replaced by a default.
TEST(CallerCodec, RejectsBadHeaders) {
  for (const char* value :
       {"", "0", "-1", "1.5", "x", "10ms", "3600001", "99999999999999999999"}) {
    HttpRequest request = SearchRequest(kSearchBody);
    request.headers = {{"X-Deadline-Ms", value}};
    EXPECT_EQ(DecodeError(request).substr(0, 17), "400 X-Deadline-Ms") << value;
  }
  HttpRequest request = SearchRequest(kSearchBody);
  request.headers = {{"X-Request-Id", "a b"}};
  EXPECT_EQ(DecodeError(request).substr(0, 16), "400 X-Request-Id");
}

// Guards against an operation without an idempotency key or issue time, which
// could run twice.
TEST(CallerCodec, OperationNeedsKeyAndIssueTime) {
  HttpRequest request = OperationRequest();
  request.headers = {{"Idempotency-Issued-At", "1"}};
  EXPECT_EQ(DecodeError(request), "400 Idempotency-Key is missing.");
  request.headers = {{"Idempotency-Key", "k"}};
  EXPECT_EQ(DecodeError(request), "400 Idempotency-Issued-At is missing.");
  request.headers = {{"Idempotency-Key", "k"},
                     {"Idempotency-Issued-At", "yesterday"}};
  EXPECT_EQ(DecodeError(request),
            "400 Idempotency-Issued-At is not a time in Unix milliseconds.");
}

// Guards against unclear errors for wrong paths, methods and sizes.
TEST(CallerCodec, RejectsWrongPathMethodAndSize) {
  HttpRequest request = SearchRequest(kSearchBody);
  request.path = "/v1/other";
  EXPECT_EQ(DecodeError(request), "404 There is no such path.");
  request = SearchRequest(kSearchBody);
  request.method = "GET";
  EXPECT_EQ(DecodeError(request), "405 The path takes POST only.");
  request = SearchRequest("");
  request.refused_status = 413;
  EXPECT_EQ(DecodeError(request), "413 The body is too large.");
  request.refused_status = 431;
  EXPECT_EQ(DecodeError(request), "431 The headers are too large.");
}

// Guards against an answer encoded without its coverage or snapshot.
TEST(CallerCodec, EncodesAnswer) {
  Answer answer;
  answer.request_id = kId;
  answer.snapshot = {IndexVersion(7), MapVersion(3)};
  answer.coverage = {.groups_asked = 2,
                     .groups_covered = 1,
                     .records_asked = 20,
                     .records_covered = 12,
                     .missing_groups = {ShardGroupId("g2")}};
  answer.settings_revision = Revision(9);
  answer.rows = {R"({"key":"a"})", R"("b")"};
  const HttpResponse response = EncodeReply(answer);
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(json::parse(response.body), json::parse(R"({
    "request_id":"r-1","snapshot":{"index_version":7,"map_version":3},
    "coverage":{"groups_asked":2,"groups_covered":1,"records_asked":20,
      "records_covered":12,"missing_groups":["g2"],"complete":false},
    "settings_revision":9,"replayed":false,"rows":[{"key":"a"},"b"]})"));
  answer.rows.clear();
  EXPECT_EQ(json::parse(EncodeReply(answer).body)["rows"], json::array());
}

// Guards against an error encoded without its run state or retry delay.
TEST(CallerCodec, EncodesError) {
  const HttpResponse response =
      EncodeReply(ErrorAnswer{.request_id = kId,
                              .code = ErrorCode::kOverloaded,
                              .run_state = RunState::kNotRun,
                              .message = "The queue is full.",
                              .retry_after = std::chrono::milliseconds(1500)});
  EXPECT_EQ(response.status, 429);
  EXPECT_EQ(json::parse(response.body), json::parse(R"({"request_id":"r-1",
    "error":"overloaded","run_state":"not_run","message":"The queue is full.",
    "retry_after_ms":1500})"));
  EXPECT_EQ(response.headers.back().second, "2");
}

// Guards against input that crashes the decoder or is accepted unchecked.
// Bodies are valid ones with a few bytes replaced, removed or inserted.
RC_GTEST_PROP(CallerCodecFuzz, ChangedBodiesAreDecodedOrRejected, ()) {
  HttpRequest request = OperationRequest();
  std::string& body = request.body;
  const auto edits =
      *rc::gen::container<std::vector<std::tuple<uint16_t, uint8_t, uint8_t>>>(
          rc::gen::arbitrary<std::tuple<uint16_t, uint8_t, uint8_t>>());
  for (const auto& [position, byte, action] : edits) {
    const size_t at = body.empty() ? 0 : position % body.size();
    if (action % 3 == 0 && !body.empty())
      body[at] = static_cast<char>(byte);
    else if (action % 3 == 1 && !body.empty())
      body.erase(at, 1);
    else
      body.insert(at, 1, static_cast<char>(byte));
  }
  try {
    const CallerRequest decoded = DecodeRequest(request, kId);
    RC_ASSERT(json::accept(body));
    RC_ASSERT(!decoded.team.value().empty());
    RC_ASSERT(!decoded.record_key.empty());
  } catch (const InvalidRequest& error) {
    RC_ASSERT(error.status() == 400);
    RC_ASSERT(json::accept(EncodeInvalid(kId, error).body));
  }
}

// Guards against header values that throw anything but InvalidRequest.
RC_GTEST_PROP(CallerCodecFuzz,
              AnyHeadersAreDecodedOrRejected,
              (const std::string& deadline,
               const std::string& key,
               const std::string& issued)) {
  HttpRequest request = OperationRequest();
  request.headers = {{"X-Deadline-Ms", deadline},
                     {"Idempotency-Key", key},
                     {"Idempotency-Issued-At", issued}};
  try {
    DecodeRequest(request, kId);
  } catch (const InvalidRequest& error) {
    RC_ASSERT(error.status() == 400);
  }
}

}  // namespace
}  // namespace wasabihook::caller
