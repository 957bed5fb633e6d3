// Pattern: connection pre-warming. No network.

#include "gateway/connection_warmer.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

// Guards against a herd of handshakes when hundreds of servers are listed at
// once, and against servers that are never connected to.
TEST(ConnectionWarmer, OpensAFewConnectionsAtATime) {
  ConnectionWarmer warmer;
  std::vector<ServerId> cold;
  for (int i = 0; i < 270; ++i)
    cold.emplace_back("i-" + std::to_string(i));
  Duration time{0};
  while (!cold.empty() && time < seconds(10)) {
    const std::vector<ServerId> selected = warmer.Select(cold, At(time));
    EXPECT_LE(selected.size(), kWarmConnectionsPerStep);
    for (const ServerId& id : selected)
      std::erase(cold, id);
    time += milliseconds(50);
  }
  EXPECT_TRUE(cold.empty());
  EXPECT_LT(time, seconds(5));
}

// Guards against reconnecting all the time to a server that closes its idle
// connections.
TEST(ConnectionWarmer, BacksOffFromAServerThatKeepsClosing) {
  ConnectionWarmer warmer;
  const std::vector<ServerId> cold = {ServerId("i-1")};
  size_t opened = 0;
  for (Duration time{0}; time < seconds(60); time += milliseconds(50))
    opened += warmer.Select(cold, At(time)).size();
  EXPECT_GE(opened, 3U);
  EXPECT_LE(opened, 6U);
}

}  // namespace
}  // namespace wasabihook::gateway
