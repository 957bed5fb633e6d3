#include "decision/settings/settings_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <thread>

#include "testing/manual_timer_service.h"

namespace wasabihook {
namespace {

const char kTeam[] = "teams/clerks";

std::string TeamText(uint32_t max_queued) {
  return "[team]\nname = \"clerks\"\n[limits]\nmax_queued = " +
         std::to_string(max_queued) + "\n";
}

// Guards against an invalid value that takes effect, is missing from the status
// or is not available to peers.
TEST(SettingsRegistryTest, InvalidValueLeavesTheLastValidOneInForce) {
  testing::ManualTimerService timers;
  SettingsRegistry registry(&timers);
  EXPECT_EQ(
      registry.Offer(kTeam, Revision(3), TeamText(10), SettingsSource::kStore),
      OfferOutcome::kApplied);
  EXPECT_EQ(registry.Offer(kTeam, Revision(5), "[team]\nname = 1\n",
                           SettingsSource::kStore),
            OfferOutcome::kRejected);
  EXPECT_EQ(registry.Team(TeamId("clerks"))->max_queued, 10u);
  const auto status = registry.Status();
  ASSERT_EQ(status.size(), 1u);
  EXPECT_EQ(status[0].in_force, Revision(3));
  EXPECT_EQ(status[0].newest, Revision(5));
  ASSERT_TRUE(status[0].rejected.has_value());
  EXPECT_EQ(status[0].rejected->revision, Revision(5));
  EXPECT_NE(status[0].rejected->reason.find("team.name"), std::string::npos);
  EXPECT_EQ(registry.Texts(kTeam).size(), 2u);
}

// Guards against an instance that received only the invalid value and never
// accepts the last valid one from other instances.
TEST(SettingsRegistryTest, AppliesAValidValueOlderThanARejectedOne) {
  testing::ManualTimerService timers;
  SettingsRegistry registry(&timers);
  registry.Offer(kTeam, Revision(5), "broken", SettingsSource::kStore);
  EXPECT_EQ(registry.Team(TeamId("clerks")), nullptr);
  EXPECT_EQ(
      registry.Offer(kTeam, Revision(3), TeamText(1), SettingsSource::kPeer),
      OfferOutcome::kApplied);
  EXPECT_EQ(registry.Status()[0].newest, Revision(5));
  EXPECT_FALSE(registry.Wants({kTeam, Revision(5)}));
  EXPECT_EQ(
      registry.Offer(kTeam, Revision(7), TeamText(2), SettingsSource::kStore),
      OfferOutcome::kApplied);
  EXPECT_FALSE(registry.Status()[0].rejected.has_value());
}

// Guards against a revision that decreases for some order of arrival, and
// against registries that received the same values but end up different.
RC_GTEST_PROP(SettingsRegistryTest, RevisionsOnlyIncreaseInAnyOrder, ()) {
  struct Offered {
    uint64_t revision;
    bool valid;
  };
  std::vector<Offered> offers;
  const auto count = *rc::gen::inRange<uint64_t>(1, 12);
  for (uint64_t i = 1; i <= count; ++i) {
    offers.push_back(
        {i, *rc::gen::weightedElement<bool>({{3, true}, {1, false}})});
  }
  testing::ManualTimerService timers;
  std::vector<uint64_t> hashes;
  for (int order = 0; order < 2; ++order) {
    SettingsRegistry registry(&timers);
    std::vector<uint64_t> seen;
    registry.Subscribe([&](const SettingsChange& change) {
      seen.push_back(change.revision.value());
    });
    for (size_t i = 0; i < offers.size() * 2; ++i) {
      const size_t pick = i < offers.size()
                              ? *rc::gen::inRange<size_t>(0, offers.size())
                              : i - offers.size();
      const auto [revision, valid] = offers[pick];
      registry.Offer(kTeam, Revision(revision),
                     valid ? TeamText(static_cast<uint32_t>(revision)) : "x",
                     SettingsSource::kPeer);
    }
    RC_ASSERT(std::is_sorted(seen.begin(), seen.end()));
    RC_ASSERT(std::adjacent_find(seen.begin(), seen.end()) == seen.end());
    const auto last_valid = std::find_if(offers.rbegin(), offers.rend(),
                                         [](const auto& o) { return o.valid; });
    const auto team = registry.Team(TeamId("clerks"));
    RC_ASSERT((team != nullptr) == (last_valid != offers.rend()));
    if (team) {
      RC_ASSERT(team->revision == Revision(last_valid->revision));
      RC_ASSERT(team->max_queued == last_valid->revision);
    }
    hashes.push_back(registry.Hash());
  }
  RC_ASSERT(hashes[0] == hashes[1]);
}

// Guards against lost updates when the store and peers offer values
// concurrently.
TEST(SettingsRegistryTest, ConcurrentOffersEndAtTheGreatestRevision) {
  testing::ManualTimerService timers;
  SettingsRegistry registry(&timers);
  std::vector<std::thread> threads;
  for (uint32_t t = 0; t < 4; ++t) {
    threads.emplace_back([&registry, t] {
      for (uint32_t i = 1; i <= 50; ++i) {
        registry.Offer(kTeam, Revision(i * 4 + t), TeamText(i),
                       SettingsSource::kPeer);
        const auto team = registry.Team(TeamId("clerks"));
        ASSERT_NE(team, nullptr);
        ASSERT_GE(team->revision, Revision(i * 4 + t));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(registry.Team(TeamId("clerks"))->revision, Revision(50 * 4 + 3));
}

}  // namespace
}  // namespace wasabihook
