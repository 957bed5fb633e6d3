#ifndef SRC_GATEWAY_CRASH_CONTAINMENT_H_
#define SRC_GATEWAY_CRASH_CONTAINMENT_H_

// PRIVATE HEADER. Pattern: a query that ends the servers that run it, sent to
// all shards at once.

#include <cstdint>

#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What a query has seen of its sub-requests so far.
struct QueryLosses {
  uint32_t answered = 0;
  // Connections that ended under a sub-request, whose servers were not heard
  // since, and those of them whose servers have ended.
  uint32_t lost = 0;
  uint32_t crashed = 0;
  // The query was sent to one server only, to see whether it is harmless.
  bool canary = false;
};

enum class LossAction : uint8_t {
  // The answers outweigh the losses: the query is most likely a bystander.
  kRetry,
  // Wait for more answers before the lost part is sent to another replica.
  kHold,
  // Send nothing more, and give up the sub-requests that still run.
  kContain,
};

// Decides about the lost parts of a query.
LossAction DecideAfterLoss(const QueryLosses& losses);

struct CanaryCost {
  // Objective of the route.
  Duration objective{0};
  // Of a shard; 0 if not known yet.
  Duration median_latency{0};
};

// True if a query whose effect is not known may be sent to few servers before
// all others, and still be answered within its objective. So it is while the
// latency is not known: an instance with little traffic has seen no query yet.
bool LeavesRoomForCanaries(const CanaryCost& cost);

// Time after which canaries without an answer are joined by another.
Duration RoutineCanaryTimeout(Duration objective);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_CRASH_CONTAINMENT_H_
