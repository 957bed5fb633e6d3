#include "peers/platform/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wasabihook::platform {
namespace {

const std::vector<KeyValue> kEntries = {{"p/a", "\"x\"\n", Revision(3)},
                                        {"p/b", "", Revision(7)}};

// Guards against fields that are lost or changed by encoding and decoding.
TEST(PlatformWireTest, RoundTrips) {
  const GetResult get{StoreStatus::kOk, kEntries[0]};
  EXPECT_EQ(DecodeGet(EncodeGet(get), "p/a").entry.value, kEntries[0].value);
  const ListResult list =
      DecodeList(EncodeList({StoreStatus::kOk, kEntries, Revision(9)}), "p/");
  EXPECT_EQ(list.status, StoreStatus::kOk);
  EXPECT_EQ(list.entries.size(), 2U);
  EXPECT_EQ(list.store_revision, Revision(9));
  const WriteResult conflict = DecodeWrite(
      EncodeWrite("p/a", {StoreStatus::kConflict, {}, kEntries[0]}), "p/a");
  EXPECT_EQ(conflict.status, StoreStatus::kConflict);
  EXPECT_EQ(conflict.current->revision, Revision(3));
  const ListedInstance instance{InstanceId("i"), "127.0.0.1:4",
                                DataCentreId("d"), Incarnation(~0ULL),
                                ListedState::kLeaving};
  const auto decoded = DecodeInstance(EncodeInstance(instance));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->incarnation, instance.incarnation);
  EXPECT_EQ(decoded->state, ListedState::kLeaving);
}

// Guards against a failure being reported as without effect although the write
// may have been applied.
TEST(PlatformWireTest, OnlyNamedErrorsMeanNoEffect) {
  const auto decode = [](int status, const std::string& body) {
    return DecodeWrite({status, body}, "k").status;
  };
  EXPECT_EQ(decode(503, R"({"error":"unavailable"})"),
            StoreStatus::kUnavailable);
  EXPECT_EQ(decode(503, "Service Unavailable"), StoreStatus::kUnknown);
  EXPECT_EQ(decode(500, R"({"error":"unavailable"})"), StoreStatus::kUnknown);
  EXPECT_EQ(decode(200, R"({"key":"other","revision":4})"),
            StoreStatus::kUnknown);
  EXPECT_EQ(decode(200, R"({"key":"k","revision":-4})"), StoreStatus::kUnknown);
}

// Guards against entries with another key or prefix, out of order, or newer
// than the revision of the list.
TEST(PlatformWireTest, RejectsInconsistentEntries) {
  const GetResult get{StoreStatus::kOk, kEntries[0]};
  EXPECT_EQ(DecodeGet(EncodeGet(get), "p/x").status, StoreStatus::kUnknown);
  const auto list = [](std::vector<KeyValue> entries, Revision revision) {
    return DecodeList(
               EncodeList({StoreStatus::kOk, std::move(entries), revision}),
               "p/")
        .status;
  };
  EXPECT_EQ(list({{"q", "", Revision(1)}}, Revision(9)), StoreStatus::kUnknown);
  EXPECT_EQ(list(kEntries, Revision(5)), StoreStatus::kUnknown);
  EXPECT_EQ(list({kEntries[1], kEntries[0]}, Revision(9)),
            StoreStatus::kUnknown);
}

// Guards against crashes and false success on corrupted bodies: each one
// decodes to a validated result or to an error.
RC_GTEST_PROP(PlatformWireFuzz, DamagedBytes, ()) {
  const std::string valid =
      EncodeList({StoreStatus::kOk, kEntries, Revision(9)}).body;
  std::string body = valid;
  const int edits = *rc::gen::inRange(0, 6);
  for (int i = 0; i < edits && !body.empty(); ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, body.size());
    if (*rc::gen::arbitrary<bool>()) {
      body[at] = *rc::gen::arbitrary<char>();
    } else {
      body.erase(at, *rc::gen::inRange<size_t>(1, 8));
    }
  }
  const int status = *rc::gen::element(200, 404, 409, 413, 429, 500, 503);
  const ListResult list = DecodeList({status, body}, "p/");
  if (list.status == StoreStatus::kOk) {
    RC_ASSERT(status == 200);
    for (const KeyValue& entry : list.entries) {
      RC_ASSERT(entry.key.substr(0, 2) == "p/");
      RC_ASSERT(entry.revision <= list.store_revision);
    }
  }
  RC_ASSERT(DecodeWrite({status, body}, "p/a").status != StoreStatus::kOk);
  DecodeGet({status, body}, "p/a");
  DecodeInstances({status, body});
  DecodeInstance(body);
  DecodeValue(body);
}

// Guards against crashes on arbitrary bytes, and against text that changes when
// it is percent-encoded and decoded.
RC_GTEST_PROP(PlatformWireFuzz, ArbitraryBytes, (const std::string& bytes)) {
  RC_ASSERT(DecodeWrite({200, bytes}, "k").status == StoreStatus::kUnknown);
  RC_ASSERT(DecodeList({200, bytes}, "").status == StoreStatus::kUnknown);
  PercentDecode(bytes);
  RC_ASSERT(PercentDecode(PercentEncode(bytes, false)) == bytes);
  RC_ASSERT(PercentDecode(PercentEncode(bytes, true)) == bytes);
}

}  // namespace
}  // namespace wasabihook::platform
