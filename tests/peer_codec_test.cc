#include "peers/instance/peer_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

#include "peers/instance/peer_rpc_server.h"

namespace wasabihook {
namespace {

PeerIdentity TestIdentity() {
  return {InstanceId("i-1"), Incarnation(UINT64_MAX), "127.0.0.1:7000",
          DataCentreId("bay-a")};
}

DigestRequest ArbitraryDigest() {
  DigestRequest digest;
  digest.from = TestIdentity();
  digest.settings_hash = *rc::gen::arbitrary<uint64_t>();
  digest.greatest_revision = Revision(*rc::gen::arbitrary<uint64_t>());
  digest.leaving = *rc::gen::arbitrary<bool>();
  digest.quarantine.push_back(
      {TeamId("clerks"), Fingerprint(*rc::gen::arbitrary<uint64_t>()),
       std::chrono::milliseconds(*rc::gen::inRange(0, 1000000))});
  digest.draining_servers.push_back(ServerId("127.0.0.1:9001"));
  return digest;
}

std::string Serialize(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::string SerializeCall(const PeerRequest& request) {
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = 1;
  call["method"] = MethodName(request);
  call["params"] = Encode(request);
  return Serialize(call);
}

// Guards against fields that are lost or changed by encoding and decoding.
RC_GTEST_PROP(PeerCodecTest, MessagesRoundTrip, ()) {
  const PeerRequest digest = ArbitraryDigest();
  const PeerRequest pull =
      PullRequest{TestIdentity(), {"teams/clerks", "fleet"}};
  for (const PeerRequest& request : {digest, pull}) {
    const Json::Value encoded = Encode(request);
    RC_ASSERT(Encode(DecodeRequest(MethodName(request), encoded)) == encoded);
  }
  const auto revision = *rc::gen::arbitrary<uint64_t>();
  const PeerResponse listed =
      DigestResponse{TestIdentity(), {{"fleet", Revision(revision)}}};
  const PeerResponse pulled = PullResponse{
      {{"fleet", Revision(revision), *rc::gen::arbitrary<std::string>()}}};
  RC_ASSERT(Encode(DecodeResponse(kDigestMethod, Encode(listed))) ==
            Encode(listed));
  RC_ASSERT(Encode(DecodeResponse(kPullMethod, Encode(pulled))) ==
            Encode(pulled));
}

// Guards against values of the wrong type or range being decoded as zero.
TEST(PeerCodecTest, ReportsPathAndKindOfError) {
  const PeerRequest request = PullRequest{TestIdentity(), {"fleet"}};
  struct Case {
    const char* member;
    Json::Value value;
    PeerDecodeErrorKind kind;
  };
  for (const Case& c : std::vector<Case>{
           {"incarnation", Json::Value(-1), PeerDecodeErrorKind::kOutOfRange},
           {"incarnation", Json::Value(1.5), PeerDecodeErrorKind::kWrongType},
           {"incarnation", Json::Value("1"), PeerDecodeErrorKind::kWrongType},
           {"instance", Json::Value(""), PeerDecodeErrorKind::kOutOfRange},
           {"address", Json::Value(std::string(300, 'a')),
            PeerDecodeErrorKind::kTooLong},
           {"data_centre", Json::Value(), PeerDecodeErrorKind::kWrongType}}) {
    Json::Value params = Encode(request);
    params["from"][c.member] = c.value;
    try {
      DecodeRequest(kPullMethod, params);
      FAIL() << c.member;
    } catch (const PeerDecodeError& error) {
      EXPECT_EQ(error.kind(), c.kind) << error.what();
      EXPECT_EQ(error.path(), std::string("from.") + c.member);
    }
  }
  Json::Value params = Encode(request);
  params.removeMember("from");
  EXPECT_THROW(DecodeRequest(kPullMethod, params), PeerDecodeError);
  EXPECT_THROW(DecodeRequest("other", Encode(request)), PeerDecodeError);
}

// Guards against malformed requests that crash the server or reach the handler:
// every response is JSON, and the handler receives only validated values.
RC_GTEST_PROP(PeerCodecTest, DamagedRequestsGetAResponse, ()) {
  std::string text = SerializeCall(ArbitraryDigest());
  const auto edits = *rc::gen::inRange(1, 8);
  for (int i = 0; i < edits; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
    const auto length = *rc::gen::inRange<size_t>(0, 12);
    text.replace(at, length,
                 *rc::gen::element<std::string>("", "{", "}", "[", "]", "\"",
                                                "-1", "1e400", "null", "\xff",
                                                ":", ",", "true"));
  }
  PeerRpcServer server([](const PeerRequest& request) -> PeerResponse {
    if (const auto* digest = std::get_if<DigestRequest>(&request)) {
      RC_ASSERT(!digest->from.instance.value().empty());
      RC_ASSERT(!digest->from.address.empty());
      return DigestResponse{TestIdentity(), {}};
    }
    return PullResponse{};
  });
  const std::string response = server.Handle(text);
  Json::Value parsed;
  std::istringstream stream(response);
  std::string errors;
  // A request without an id is a notification, which gets no response.
  if (!response.empty()) {
    RC_ASSERT(Json::parseFromStream(Json::CharReaderBuilder(), stream, &parsed,
                                    &errors));
  }
}

// Guards against deeply nested JSON that terminates the process.
TEST(PeerCodecTest, RejectsDeepNesting) {
  PeerRpcServer server(
      [](const PeerRequest&) -> PeerResponse { return PullResponse{}; });
  const std::string response = server.Handle(std::string(100000, '['));
  EXPECT_NE(response.find("error"), std::string::npos);
  EXPECT_NE(server.Handle("").find("error"), std::string::npos);
}

}  // namespace
}  // namespace wasabihook
