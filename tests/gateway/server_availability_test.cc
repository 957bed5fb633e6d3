// Pattern: a server that should get no requests for a while, as the registry,
// its own answers or its connections show at different times.

#include "gateway/server_availability.h"

#include <gtest/gtest.h>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

// Guards against requests to an address that another server has taken over, and
// against one wrong answer that disables a server permanently.
TEST(ServerAvailability, MisdirectedServerIsUsedAgainAfterAPause) {
  ServerAvailability server;
  EXPECT_FALSE(server.IsMisdirected(At(seconds(1))));
  server.OnMisdirected(At(seconds(1)));
  EXPECT_TRUE(server.IsMisdirected(At(seconds(1))));
  EXPECT_FALSE(server.IsUsable(At(seconds(1)), false));
  EXPECT_TRUE(server.IsMisdirected(At(seconds(1) + kMisdirectedPause / 2)));
  EXPECT_FALSE(server.IsMisdirected(At(seconds(1) + kMisdirectedPause)));
  server.OnMisdirected(At(seconds(20)));
  server.OnNewEntry();
  EXPECT_FALSE(server.IsMisdirected(At(seconds(20))));
}

// Guards against a service without any server while its last ones leave, and
// against new work for a server that is about to end.
TEST(ServerAvailability, LeavingServerIsUsedForAShortTimeIfThereIsNoOther) {
  ServerAvailability server;
  EXPECT_EQ(server.At(At(seconds(1)), false), Availability::kSound);
  EXPECT_EQ(server.At(At(seconds(1)), true), Availability::kDown);
  server.OnLeaving(At(seconds(1)));
  server.OnLeaving(At(seconds(9)));
  EXPECT_EQ(server.At(At(seconds(1)), true), Availability::kLeaving);
  EXPECT_FALSE(server.IsUsable(At(seconds(1)), true));
  const Duration fallback = kDrainingFallbackPeriod;
  EXPECT_TRUE(server.IsUsable(At(seconds(1)) + fallback, false));
  EXPECT_FALSE(
      server.IsUsable(At(seconds(1)) + fallback + milliseconds(1), false));
  server.OnListedReady();
  EXPECT_TRUE(server.IsUsable(At(seconds(20)), true));
}

}  // namespace
}  // namespace wasabihook::gateway
