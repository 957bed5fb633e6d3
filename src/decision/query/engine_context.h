#ifndef SRC_DECISION_QUERY_ENGINE_CONTEXT_H_
#define SRC_DECISION_QUERY_ENGINE_CONTEXT_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "decision/query/capacity_waiters.h"
#include "decision/query/in_flight_bodies.h"
#include "wasabihook/query_tier.h"

namespace wasabihook {

// State shared by all requests of one query tier. Its tables do their own
// locking and make no outside calls, so they may be used while a query shard's
// lock is held.
struct EngineContext {
  explicit EngineContext(QueryTierDeps d) : deps(std::move(d)) {}

  SubRequestId NewSubRequestId() {
    return SubRequestId(deps.id_prefix + "-" +
                        std::to_string(next_sub_request.fetch_add(1)));
  }

  const QueryTierDeps deps;
  CapacityWaiters waiters;
  InFlightBodies bodies;
  std::atomic<uint64_t> next_sub_request{1};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_ENGINE_CONTEXT_H_
