#ifndef TESTS_DECISION_COMMANDS_H_
#define TESTS_DECISION_COMMANDS_H_

#include <cstdint>
#include <optional>

#include "decision_world.h"

namespace wasabihook::testing {

// Commands of the fuzz test.
enum class Command : uint8_t {
  kSearch,
  kSearchShort,
  kPoison,
  kFetch,
  kOperation,
  kOperationShort,
  kResend,
  kResendSoon,
  kResendOtherBody,
  kCancel,
  kCrash,
  kBackendVersion,
  kSettingsVersion,
  kBothVersions,
  kDropOldVersions,
  kClaimsDown,
  kClaimsUp,
  kClaimsSlow,
  kClaimsLoseResponse,
  kFaultsHigh,
  kFaultsLow,
  kDrain,
  kAdvance,
  kCount
};

inline void Apply(DecisionWorld& world, Command command, uint16_t argument) {
  const Duration timeout = milliseconds(1 + argument % 300);
  switch (command) {
    case Command::kSearch:
      return world.Search("lens", std::nullopt);
    case Command::kSearchShort:
      return world.Search("lens", timeout);
    case Command::kPoison:
      return world.Search("poison", std::nullopt);
    case Command::kFetch:
      return world.Fetch(std::nullopt);
    case Command::kOperation:
      return world.Operation(std::nullopt);
    case Command::kOperationShort:
      return world.Operation(timeout);
    case Command::kResend:
      world.timers().Advance(milliseconds(argument % 50));
      return world.Resend(argument, false);
    case Command::kResendSoon:
      return world.Resend(argument, false);
    case Command::kResendOtherBody:
      return world.Resend(argument, true);
    case Command::kCancel:
      return world.Cancel(argument);
    case Command::kCrash:
      return world.Crash(argument);
    case Command::kBackendVersion:
      return world.NewBackendVersion();
    case Command::kSettingsVersion:
      return world.NewSettingsVersion();
    case Command::kBothVersions:
      world.NewBackendVersion();
      return world.NewSettingsVersion();
    case Command::kDropOldVersions:
      return world.DropOldVersions();
    case Command::kClaimsDown:
      return world.claims().SetUnavailable(true);
    case Command::kClaimsUp:
      return world.claims().SetUnavailable(false);
    case Command::kClaimsSlow:
      return world.claims().SetDelay(milliseconds(argument % 1200));
    case Command::kClaimsLoseResponse:
      return world.claims().LoseResponses(1);
    case Command::kFaultsHigh:
      return world.backends().SetFaults(600);
    case Command::kFaultsLow:
      return world.backends().SetFaults(50);
    case Command::kDrain:
      // Seldom, because later requests are refused.
      return argument % 4 == 0 ? world.Drain() : void();
    case Command::kAdvance:
    case Command::kCount:
      return world.timers().Advance(milliseconds(argument % 400));
  }
}

inline TeamSettings DrawSettings(uint8_t bits) {
  TeamSettings team;
  team.coverage_policy =
      bits & 1 ? CoveragePolicy::kEarly : CoveragePolicy::kWait;
  team.least_coverage = Fraction{bits & 2 ? 0.0 : 0.6};
  team.canary = (bits & 4) != 0;
  team.admission_control = (bits & 8) == 0;
  team.extra_load_budget = Fraction{bits & 16 ? 0.05 : 1.0};
  team.soft_deadline = milliseconds(60);
  return team;
}

}  // namespace wasabihook::testing

#endif  // TESTS_DECISION_COMMANDS_H_
