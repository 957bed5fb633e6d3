#include "decision/routing/connection_quota.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

// Guards against quotas of zero and against quotas without headroom for a
// replacement, at the deployment's sizes.
TEST(ConnectionQuotaTest, LeavesHeadroomForReplacements) {
  for (uint32_t max : {25, 45, 100}) {
    for (uint32_t live = 1; live <= 8; ++live) {
      EXPECT_GE(ConnectionQuota(max, live), 2) << max << " over " << live;
      EXPECT_GE(ReplacementHeadroom(max, live), live < 3 ? 0 : 1)
          << max << " over " << live;
    }
  }
  EXPECT_EQ(ConnectionQuota(25, 8), 2);
  EXPECT_EQ(ConnectionQuota(25, 0), ConnectionQuota(25, 1));
  EXPECT_EQ(ConnectionQuota(1, 8), 1);
}

// Guards against a total above the limit while replacements overlap with the
// instances that they replace and instances have different views of the live
// instances.
RC_GTEST_PROP(ConnectionQuotaTest, SumStaysWithinLimitDuringReplacement, ()) {
  const auto max = *rc::gen::inRange<uint32_t>(4, 500);
  const double usable = max * (1 - config::kConnectionReserve.value);
  const auto live =
      *rc::gen::inRange<uint32_t>(1, static_cast<uint32_t>(usable) + 1);
  const auto present =
      live + *rc::gen::inRange<uint32_t>(0, ReplacementHeadroom(max, live) + 1);
  uint32_t sum = 0;
  for (uint32_t i = 0; i < present; ++i) {
    // An instance's view may already include replacements.
    const auto believed = *rc::gen::inRange<uint32_t>(live, present + 1);
    sum += ConnectionQuota(max, believed);
  }
  RC_ASSERT(sum <= max);
}

// Guards against a total above the limit when an instance leaves or joins and
// some instances learn of it before others.
RC_GTEST_PROP(ConnectionQuotaTest, SumStaysWithinLimitDuringScaling, ()) {
  const auto max = *rc::gen::inRange<uint32_t>(8, 500);
  const double usable = max * (1 - config::kConnectionReserve.value);
  const auto most = static_cast<uint32_t>(usable);
  const auto present = *rc::gen::inRange<uint32_t>(4, std::max(most, 4U) + 1);
  uint32_t sum = 0;
  for (uint32_t i = 0; i < present; ++i) {
    sum += ConnectionQuota(max, *rc::gen::inRange(present - 1, present + 1));
  }
  RC_ASSERT(sum <= max);
}

}  // namespace
}  // namespace wasabihook
