#include "decision/routing/retry_budget.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <vector>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

const TeamId kTeam("clerks");
constexpr Fraction kShare{0.05};

uint32_t SpendAll(RetryBudget* budget, const TeamId& team) {
  uint32_t spent = 0;
  while (budget->TrySpend(team)) {
    ++spent;
  }
  return spent;
}

// Guards against a budget that never allows a retry for a team with little
// traffic.
TEST(RetryBudgetTest, SingleRequestMayRetry) {
  auto budget = RetryBudget::Create();
  EXPECT_FALSE(budget->TrySpend(kTeam));
  budget->OnFirstAttempt(kTeam, kShare);
  EXPECT_TRUE(budget->TrySpend(kTeam));
}

// Guards against accumulating tokens without bound, which would permit a retry
// storm.
TEST(RetryBudgetTest, AccumulatedTokensAreBounded) {
  auto budget = RetryBudget::Create();
  for (int i = 0; i < 100'000; ++i) {
    budget->OnFirstAttempt(kTeam, kShare);
  }
  EXPECT_EQ(SpendAll(budget.get(), kTeam),
            static_cast<uint32_t>(config::kMaxRetryTokens));
}

// Guards against hedges that use up the tokens needed for retries when a server
// fails.
TEST(RetryBudgetTest, HedgesLeaveReserveForRetries) {
  auto budget = RetryBudget::Create();
  for (int i = 0; i < 1000; ++i) {
    budget->OnFirstAttempt(kTeam, kShare);
  }
  while (budget->TrySpendForHedge(kTeam)) {
  }
  EXPECT_EQ(SpendAll(budget.get(), kTeam),
            static_cast<uint32_t>(config::kRetryTokenReserve));
}

// Guards against a share of zero that takes effect only after the remaining
// tokens are spent.
TEST(RetryBudgetTest, ShareOfZeroStopsExtraLoadAtOnce) {
  auto budget = RetryBudget::Create();
  for (int i = 0; i < 1000; ++i) {
    budget->OnFirstAttempt(kTeam, kShare);
  }
  budget->OnFirstAttempt(kTeam, Fraction{0});
  EXPECT_FALSE(budget->TrySpend(kTeam));
}

// Guards against extra load above the share and against teams that spend the
// tokens of other teams, for any order of calls.
RC_GTEST_PROP(RetryBudgetTest, ExtraLoadStaysWithinShare, ()) {
  auto budget = RetryBudget::Create();
  const auto share = Fraction{*rc::gen::inRange<int>(0, 101) / 100.0};
  const std::vector<TeamId> teams{TeamId("a"), TeamId("b")};
  std::vector<double> first(teams.size());
  std::vector<double> extra(teams.size());
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 2), rc::gen::inRange(0, 5)));
  for (const auto& [team, action] : steps) {
    if (action < 2) {
      budget->OnFirstAttempt(teams[team], share);
      ++first[team];
    } else if (action < 4) {
      const bool spent = action == 2 ? budget->TrySpend(teams[team])
                                     : budget->TrySpendForHedge(teams[team]);
      extra[team] += spent ? 1 : 0;
    } else if (extra[team] > 0) {
      budget->Refund(teams[team]);
      --extra[team];
    }
    const double allowed =
        share.value > 0
            ? config::kRetryTokenReserve + share.value * first[team] + 1e-6
            : 0;
    RC_ASSERT(extra[team] <= allowed);
  }
}

}  // namespace
}  // namespace wasabihook
