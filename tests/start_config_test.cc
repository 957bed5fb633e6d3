#include "runtime/start_config.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wasabihook {
namespace {

using ::testing::ElementsAre;
using ::testing::HasSubstr;

constexpr char kMinimalConfig[] = R"([instance]
id = "bay-a-1"
data_centre = "bay-a"
[listen]
caller = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
admin = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:7000"
)";

std::vector<std::string> Problems(const std::string& text) {
  try {
    ParseStartConfig(text, "f.toml");
    return {};
  } catch (const StartConfigError& error) {
    return error.problems();
  }
}

// Guards against keys that are accepted but ignored.
TEST(StartConfig, ReadsEveryKey) {
  const StartConfig config = ParseStartConfig(std::string(kMinimalConfig) + R"(
[peers]
seeds = ["127.0.0.1:9001", "127.0.0.1:9002"]
[threads]
caller = 3
backend = 4
timer = 5
[limits]
max_body_bytes = 2048
max_header_bytes = 4096
max_connections = 77
idle_timeout_ms = 1500
[drain]
notice_ms = 0
limit_ms = 100
[log]
level = "error"
)",
                                              "f.toml");
  EXPECT_EQ(config.instance.value(), "bay-a-1");
  EXPECT_EQ(config.data_centre.value(), "bay-a");
  EXPECT_EQ(config.caller_address, "127.0.0.1:8080");
  EXPECT_EQ(config.peer_address, "127.0.0.1:8081");
  EXPECT_EQ(config.admin_address, "127.0.0.1:8082");
  EXPECT_EQ(config.platform_address, "127.0.0.1:7000");
  EXPECT_THAT(config.seeds, ElementsAre("127.0.0.1:9001", "127.0.0.1:9002"));
  EXPECT_EQ(config.caller_threads, 3U);
  EXPECT_EQ(config.backend_threads, 4U);
  EXPECT_EQ(config.timer_threads, 5U);
  EXPECT_EQ(config.max_body_bytes, 2048U);
  EXPECT_EQ(config.max_header_bytes, 4096U);
  EXPECT_EQ(config.max_connections, 77U);
  EXPECT_EQ(config.idle_timeout, std::chrono::milliseconds(1500));
  EXPECT_EQ(config.drain_notice, Duration(0));
  EXPECT_EQ(config.drain_limit, std::chrono::milliseconds(100));
  EXPECT_EQ(config.log_level, LogLevel::kError);
}

// Guards against defaults that differ from config.h.
TEST(StartConfig, MissingOptionalKeysTakeDefaults) {
  const StartConfig config = ParseStartConfig(kMinimalConfig, "f.toml");
  EXPECT_EQ(config.drain_notice, config::kDrainNotice);
  EXPECT_EQ(config.drain_limit, config::kDrainLimit);
  EXPECT_EQ(config.max_body_bytes, config::kMaxBodyBytes);
  EXPECT_EQ(config.log_level, LogLevel::kInfo);
}

// Guards against reports that contain only the first problem, or lack the
// location, the key or the allowed values.
TEST(StartConfig, ReportsEveryProblem) {
  EXPECT_THAT(
      Problems(R"([instance]
id = 7
data_centre = "bay a"
[listen]
caller = "localhost:80"
peer = "127.0.0.1:8081"
[platform]
address = "127.0.0.1:7000"
[threads]
caller = 0
timer = "2"
colour = "blue"
[extra]
x = 1
)"),
      ElementsAre(
          "f.toml:2: instance.id: is not a string; allowed: 1 to 128 letters, "
          "digits, '-', '_' or '.'",
          "f.toml:3: instance.data_centre: value \"bay a\" is not allowed; "
          "allowed: 1 to 128 letters, digits, '-', '_' or '.'",
          "f.toml:5: listen.caller: value \"localhost:80\" is not allowed; "
          "allowed: \"ip:port\"",
          "f.toml: listen.admin: is missing; allowed: \"ip:port\"",
          "f.toml:10: threads.caller: value 0 is out of range; allowed: whole "
          "number from 1 to 64",
          "f.toml:11: threads.timer: is not a whole number; allowed: whole "
          "number from 1 to 64",
          "f.toml:13: extra: is unknown; allowed: drain, instance, limits, "
          "listen, log, peers, platform, threads",
          "f.toml:12: threads.colour: is unknown; allowed: backend, caller, "
          "timer"));
}

// Guards against tables and lists of the wrong type that are silently ignored.
TEST(StartConfig, RejectsWrongTypes) {
  EXPECT_THAT(Problems("log = 1\n" + std::string(kMinimalConfig)),
              ElementsAre("f.toml:1: log: is not a table"));
  EXPECT_THAT(
      Problems(std::string(kMinimalConfig) + "[peers]\nseeds = \"x\"\n"),
      ElementsAre(HasSubstr("f.toml:11: peers.seeds: is not a list")));
  EXPECT_THAT(
      Problems(std::string(kMinimalConfig) + "[peers]\nseeds = [\"x\"]\n"),
      ElementsAre(HasSubstr("peers.seeds: value \"x\" is not allowed")));
  EXPECT_THAT(
      Problems(std::string(kMinimalConfig) + "[log]\nlevel = \"loud\"\n"),
      ElementsAre(HasSubstr("allowed: debug, info, warning, error")));
}

// Guards against parse errors that are reported without a line number.
TEST(StartConfig, ReportsLineOfParseError) {
  EXPECT_THAT(Problems("[instance]\nid = \n"),
              ElementsAre(HasSubstr("f.toml:2: not valid TOML")));
  EXPECT_THROW(LoadStartConfig("/nonexistent/file.toml"), StartConfigError);
}

}  // namespace
}  // namespace wasabihook
