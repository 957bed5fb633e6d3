// Pattern: instances that start together and lose the store before they have
// found each other.

#include "gateway/fleet_size.h"

#include <gtest/gtest.h>

#include <numeric>
#include <vector>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

// Guards against instances of which each takes the whole limit of a server,
// since it read the store before the others had registered (soak, seed 301).
TEST(FleetSize, InstancesThatDontKnowEachOtherShareALimit) {
  constexpr uint32_t kInstances = 150;
  constexpr double kLimitPerSecond = 8;
  double sent_per_second = 0;
  for (uint32_t i = 0; i < kInstances; ++i) {
    FleetSize size;
    size.OnRegistering(At(milliseconds(20)), false);
    size.OnStoreContact(At(milliseconds(60)));
    // The store is away from here on. The first see few others.
    sent_per_second += kLimitPerSecond / size.Estimate(i / 10 + 1);
  }
  EXPECT_LE(sent_per_second, kLimitPerSecond);
}

TEST(FleetSize, IsKnownOnceTheOthersHadTheTimeToRegister) {
  FleetSize size;
  size.OnStoreContact(At(seconds(0)));
  EXPECT_FALSE(size.known());
  size.OnRegistering(At(seconds(1)), false);
  size.OnStoreContact(At(seconds(1)) + kFleetDiscoveryTime / 2);
  EXPECT_FALSE(size.known());
  EXPECT_GE(size.Estimate(3), 150U);
  size.OnStoreContact(At(seconds(1)) + kFleetDiscoveryTime);
  EXPECT_TRUE(size.known());
  EXPECT_EQ(size.Estimate(3), 3U);
}

// Guards against a fleet that throttles itself in each outage of the store.
TEST(FleetSize, StaysKnownWhileTheStoreIsAway) {
  FleetSize size;
  size.OnRegistering(At(seconds(0)), false);
  size.OnStoreContact(At(seconds(10)));
  EXPECT_TRUE(size.known());
  EXPECT_EQ(size.Estimate(8), 8U);
}

// Guards against a restarted instance that throttles itself although all others
// are listed.
TEST(FleetSize, IsKnownToAnInstanceThatStartsAgain) {
  FleetSize size;
  size.OnRegistering(At(seconds(0)), true);
  EXPECT_EQ(size.Estimate(8), 8U);
}

TEST(FleetSize, CountsALargerFleetThanIsAssumed) {
  FleetSize size;
  EXPECT_EQ(size.Estimate(kUnknownFleetSize + 7), kUnknownFleetSize + 7);
}

}  // namespace
}  // namespace wasabihook::gateway
