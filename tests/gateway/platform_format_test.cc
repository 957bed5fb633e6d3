// Decoding and encoding of the formats of the users' platform.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "platform/platform.h"
#include "platform/routing_format.h"

namespace wasabihook::platform_adapter {
namespace {

using gateway::KeyKind;
using gateway::ServerState;
using std::chrono::milliseconds;

TEST(RoutingFormat, ReadsSplitsGathersAndLimits) {
  const gateway::RoutingConfig config = DecodeRouting(R"({
    "version": 7,
    "routes": [
      {"name":"a","host":"h","path_prefix":"/a/","type":"non_idempotent",
       "timeout_ms":400,"slo_ms":40,"priority":2,"max_attempts":3,
       "split":[{"backend":"x","weight":3},{"backend":"y","weight":1}]},
      {"name":"b","host":"h","path_prefix":"/b/","type":"idempotent",
       "timeout_ms":800,"slo_ms":80,"max_attempts":2,
       "gather":["s1","s2"],"top_k":5,"min_version":0.75}],
    "backends": [{"name":"x","max_conns":25}],
    "limits": {"max_body_bytes":1000,"idle_timeout_ms":9000}})");
  EXPECT_EQ(config.version.value(), 7U);
  ASSERT_EQ(config.routes.size(), 2U);
  EXPECT_FALSE(config.routes[0].idempotent);
  ASSERT_EQ(config.routes[0].targets.size(), 2U);
  EXPECT_EQ(config.routes[0].targets[0].weight, 3);
  EXPECT_EQ(config.routes[0].objective, milliseconds(40));
  EXPECT_EQ(config.routes[1].gather.size(), 2U);
  EXPECT_EQ(config.routes[1].min_shard_share.value, 0.75);
  EXPECT_EQ(config.services[0].max_connections, 25U);
  EXPECT_EQ(config.limits.max_body_bytes, 1000U);
  EXPECT_EQ(config.limits.idle_timeout, milliseconds(9000));
}

// Guards against a configuration that takes effect only in part.
TEST(RoutingFormat, RejectsRoutesWithoutTargetOrField) {
  EXPECT_THROW(DecodeRouting("{"), std::exception);
  EXPECT_THROW(DecodeRouting(R"({"version":1,"backends":[],"routes":[
      {"name":"a","host":"h","path_prefix":"/a/","type":"idempotent"}]})"),
               std::exception);
  EXPECT_THROW(DecodeRouting(R"({"version":1,"backends":[],"routes":[{}]})"),
               std::exception);
}

// Guards against malformed entries of other writers that are used as servers.
TEST(ServerFormat, RejectsMissingFieldsOtherTypesAndUnknownStates) {
  const std::string good =
      R"({"backend":"x","address":"10.0.0.1:80","zone":"a","slots":2,)"
      R"("state":"draining","warmup_left_ms":250,"born":12})";
  const gateway::ServerEntry entry = DecodeServer(ServerId("i"), good);
  EXPECT_EQ(entry.state, ServerState::kDraining);
  EXPECT_EQ(entry.warm_up_left, milliseconds(250));
  EXPECT_EQ(entry.started_at_ms, 12);
  for (const char* bad :
       {"", "[]", R"({"backend":"x"})",
        R"({"backend":"x","address":7,"zone":"a","slots":2,"state":"ready"})",
        R"({"backend":"x","address":"a","zone":"a","slots":2,"state":"odd"})"})
    EXPECT_THROW(DecodeServer(ServerId("i"), bad), std::exception) << bad;
}

TEST(StoreFormat, ReadsItemsAndEvents) {
  const auto codec = MakeStoreCodec();
  const gateway::StoreListing list = codec->DecodeListing(
      R"({"items":[{"key":"servers/a","value":"bm9kZS0x","revision":4}],)"
      R"("truncated":true,"current_rev":9})");
  ASSERT_EQ(list.items.size(), 1U);
  EXPECT_EQ(list.items[0].value, "node-1");
  EXPECT_TRUE(list.truncated);
  EXPECT_EQ(list.revision, Revision(9));
  const gateway::StoreListing events = codec->DecodeEvents(
      R"({"events":[{"key":"k","revision":5,"removed":true}],)"
      R"("current_rev":5})");
  EXPECT_TRUE(events.items[0].removed);
  EXPECT_THROW(codec->DecodeListing("{}"), std::exception);
}

// Guards against values with line breaks, which the store rejects.
TEST(StoreFormat, WritesBase64InOneLine) {
  const std::string body =
      MakeStoreCodec()->Put("k", std::string(300, 'x'), 7).body;
  EXPECT_EQ(body.find("\\n"), std::string::npos);
  EXPECT_NE(body.find("\"lease\":7"), std::string::npos);
}

TEST(PlatformAdapter, ClassifiesKeysOfTheStore) {
  const gateway::PlatformAdapter platform = MakePlatformAdapter();
  EXPECT_EQ(platform.classify_key("op/config"), KeyKind::kRouting);
  EXPECT_EQ(platform.classify_key("servers/i-1"), KeyKind::kServer);
  EXPECT_EQ(platform.parse_server_id("servers/i-1").value(), "i-1");
  EXPECT_EQ(platform.classify_key(platform.instance_prefix + "x"),
            KeyKind::kInstance);
  EXPECT_EQ(platform.classify_key("op/other"), KeyKind::kOther);
}

}  // namespace
}  // namespace wasabihook::platform_adapter
