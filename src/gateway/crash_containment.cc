#include "gateway/crash_containment.h"

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

Duration ScaleDuration(Duration value, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(value.count()) * factor));
}

}  // namespace

LossAction DecideAfterLoss(const QueryLosses& losses) {
  if (losses.answered >= kAnswersPerCrash * losses.lost)
    return LossAction::kRetry;
  const uint32_t enough = losses.canary ? 1 : kMinContainedCrashes;
  return losses.answered == 0 && losses.crashed >= enough ? LossAction::kContain
                                                          : LossAction::kHold;
}

bool LeavesRoomForCanaries(const CanaryCost& cost) {
  return cost.median_latency <= ScaleDuration(cost.objective, kMaxCanaryShare);
}

Duration RoutineCanaryTimeout(Duration objective) {
  return ScaleDuration(objective, kRoutineCanaryTimeoutShare);
}

}  // namespace wasabihook::gateway
