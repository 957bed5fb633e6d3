// Tests of the gateway's startup configuration file.

#include "gateway/gateway_settings.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace wasabihook::gateway {
namespace {

constexpr const char* kValidSettings = R"(
[instance]
id = "gateway-1"
data_centre = "a"
[listen]
caller = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[store]
address = "127.0.0.1:3"
[bounds]
retry_slack = 52
grace_s = 6.5
drain_ms = 5000
later = "ignored"
)";

TEST(GatewaySettings, ReadsUnitsAndKeepsDefaults) {
  const GatewaySettings settings = ParseGatewaySettings(kValidSettings, "test");
  EXPECT_EQ(settings.instance.value(), "gateway-1");
  EXPECT_EQ(settings.bounds.grace, milliseconds(6500));
  EXPECT_EQ(settings.bounds.drain, seconds(5));
  EXPECT_EQ(settings.bounds.retry_slack, 52);
  EXPECT_EQ(settings.bounds.config_apply, seconds(3));
  EXPECT_TRUE(settings.metrics_address.empty());
}

// Guards against a gateway that starts with incomplete settings.
TEST(GatewaySettings, ReportsAllProblems) {
  try {
    ParseGatewaySettings("[bounds]\nretry_ratio = \"x\"\n", "test");
    FAIL() << "accepted";
  } catch (const GatewaySettingsError& error) {
    const std::string text = error.what();
    for (const char* key : {"instance.id", "listen.caller", "store.address",
                            "bounds.retry_ratio"})
      EXPECT_NE(text.find(key), std::string::npos) << key;
  }
  EXPECT_THROW(ParseGatewaySettings("[", "test"), GatewaySettingsError);
}

}  // namespace
}  // namespace wasabihook::gateway
