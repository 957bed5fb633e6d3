// Estimates of what servers take well, and evacuations, without a network.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/capacity/server_paces.h"
#include "gateway/evacuation/evacuations.h"
#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

ServerKey Server(uint32_t number) {
  return ServerKey(number);
}

// Instances of one data centre, the first of which is the root.
class PaceFleet {
 public:
  explicit PaceFleet(size_t instances) : m_instances(instances) {}

  ServerPaces& at(size_t instance) { return m_instances[instance]; }
  // One period of the exchange.
  void Exchange(TimePoint now) {
    ServerPaces& root = m_instances[0];
    for (size_t i = 1; i < m_instances.size(); ++i)
      root.tree().SetFollower(std::to_string(i), m_instances[i].Subtree(now),
                              now);
    const PaceDigest total = root.Total(true, now);
    for (ServerPaces& instance : m_instances)
      instance.SetFleet(DecodePaces(EncodePaces(total)), now);
  }

 private:
  std::vector<ServerPaces> m_instances;
};

// Pattern: a server turns slow, and each of 71 instances has seen one reply of
// it at most. Guards against instances that each have to find out alone.
TEST(ServerPaces, AllInstancesKnowASlowServerAfterOneExchange) {
  PaceFleet fleet(71);
  for (size_t i = 1; i < 20; ++i) {
    fleet.at(i).Add(Server(1), 8, At(milliseconds(10) * static_cast<int>(i)));
    fleet.at(i).Add(Server(2), 1, At(milliseconds(10) * static_cast<int>(i)));
  }
  fleet.Exchange(At(milliseconds(600)));
  for (size_t i = 0; i < 71; ++i) {
    EXPECT_GT(fleet.at(i).PaceOf(Server(1), 1, At(milliseconds(600))), 6);
    EXPECT_NEAR(fleet.at(i).PaceOf(Server(2), 1, At(milliseconds(600))), 1,
                0.1);
  }
}

// Pattern: a server is fast again. Guards against all instances that return to
// it at the same moment, and against one that is avoided for ever.
TEST(ServerPaces, FollowsBadNewsAtOnceAndGoodNewsInSteps) {
  PaceFleet fleet(8);
  const auto see = [&fleet](double latency, TimePoint now) {
    for (size_t i = 0; i < 8; ++i)
      fleet.at(i).Add(Server(1), latency, now);
    fleet.Exchange(now);
  };
  see(1, At({}));
  see(9, At(seconds(3)));
  const double slow = fleet.at(3).PaceOf(Server(1), 1, At(seconds(3)));
  EXPECT_GT(slow, 5);
  see(1, At(seconds(6)));
  const double first = fleet.at(3).PaceOf(Server(1), 1, At(seconds(6)));
  EXPECT_LT(first, slow);
  EXPECT_GT(first, 0.6 * slow);
  TimePoint now = At(seconds(6));
  for (int i = 0; i < 12; ++i) {
    now = now + milliseconds(600);
    see(1, now);
  }
  EXPECT_LT(fleet.at(3).PaceOf(Server(1), 1, now), 1.2);
}

// Guards against a decision on old or few observations.
TEST(ServerPaces, OwnObservationsHoldWithoutTheFleet) {
  PaceFleet fleet(4);
  EXPECT_DOUBLE_EQ(fleet.at(1).PaceOf(Server(1), 1.7, At({})), 1.7);
  fleet.at(2).Add(Server(1), 9, At({}));
  fleet.Exchange(At({}));
  EXPECT_DOUBLE_EQ(fleet.at(1).PaceOf(Server(1), 1.7, At({})), 1.7);
  for (int i = 0; i < 20; ++i)
    fleet.at(2).Add(Server(1), 9, At(milliseconds(100)));
  fleet.Exchange(At(milliseconds(100)));
  EXPECT_GT(fleet.at(1).PaceOf(Server(1), 1.7, At(milliseconds(100))), 5);
  EXPECT_DOUBLE_EQ(
      fleet.at(1).PaceOf(Server(1), 1.7, At(milliseconds(100) + kPaceExpiry)),
      1.7);
}

// Guards against one odd sample that outweighs all others, and against a
// malformed message that ends the process.
TEST(ServerPaces, BoundsSamplesAndRejectsMalformedText) {
  ServerPaces paces;
  for (int i = 0; i < 9; ++i)
    paces.Add(Server(1), 1, At({}));
  paces.Add(Server(1), 1e9, At({}));
  paces.SetFleet(paces.Total(true, At({})), At({}));
  EXPECT_LT(paces.PaceOf(Server(1), 1, At({})), 3);
  EXPECT_THROW(DecodePaces("1234567"), std::runtime_error);
  PaceDigest many;
  for (uint32_t i = 0; i < 30'000; ++i)
    many[Server(i)] = {.replies = 5, .sum = 5};
  EXPECT_EQ(DecodePaces(EncodePaces(many)).size(), kMaxPacesInMessage);
}

// --- Evacuations ---

// Guards against requests to a data centre that operators have emptied, after
// the store was restored from a copy of before.
TEST(Evacuations, OutliveARestoredStoreUntilTheyAreWrittenAgain) {
  const DataCentreId a("a");
  Evacuations evacuations;
  EXPECT_TRUE(evacuations.Begin(a));
  EXPECT_FALSE(evacuations.Begin(a));
  evacuations.Reconcile({}, true, At({}));
  EXPECT_TRUE(evacuations.Contains(a));
  EXPECT_FALSE(evacuations.Begin(a));
  evacuations.Sweep(At(kEvacuationRewriteTime + seconds(1)));
  EXPECT_TRUE(evacuations.Contains(a));
}

// Guards against an evacuation that was taken back while the store was away.
TEST(Evacuations, EndWhenTheyAreTakenBack) {
  const DataCentreId a("a");
  const DataCentreId b("b");
  Evacuations evacuations;
  evacuations.Begin(a);
  evacuations.Begin(b);
  EXPECT_TRUE(evacuations.End(a));
  EXPECT_FALSE(evacuations.Contains(a));
  evacuations.Reconcile({}, false, At({}));
  EXPECT_FALSE(evacuations.Contains(b));
  evacuations.Reconcile({a}, false, At({}));
  evacuations.Reconcile({}, true, At({}));
  evacuations.Sweep(At(kEvacuationRewriteTime));
  EXPECT_FALSE(evacuations.Contains(a));
}

}  // namespace
}  // namespace wasabihook::gateway
