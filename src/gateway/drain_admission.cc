#include "gateway/drain_admission.h"

namespace wasabihook::gateway {

bool FitsBeforeStop(const RequestTimes& times,
                    bool idempotent,
                    TimePoint answer_by) {
  return (idempotent ? times.objective_at : times.deadline) <= answer_by;
}

}  // namespace wasabihook::gateway
