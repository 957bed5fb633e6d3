#ifndef WASABIHOOK_QUERY_TIER_H_
#define WASABIHOOK_QUERY_TIER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/backend.h"
#include "wasabihook/ids.h"
#include "wasabihook/random_source.h"
#include "wasabihook/request.h"
#include "wasabihook/settings.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

class AdmissionController;
class ClaimStore;
class HedgePolicy;
class Quarantine;
class RetryBudget;
class ServerTable;

// What one finished request cost and covered; for metrics and burn counts.
struct RequestOutcome {
  TeamId team;
  IndexSetId index_set;
  RequestKind kind = RequestKind::kSearch;
  Duration latency{0};
  // Share of the records covered; 0 for an error.
  Fraction coverage;
  bool complete = false;
  std::optional<ErrorCode> error;
  // Sub-requests sent, and the least number that could have served it.
  uint32_t sub_requests_sent = 0;
  uint32_t sub_requests_needed = 0;
  // Groups that missed the answer, and the server that held it up the longest.
  std::vector<ShardGroupId> missing_groups;
  std::optional<ServerId> slowest_server;
};

// Replies of backend servers that were dropped.
struct DroppedReplies {
  uint64_t late = 0;       // The sub-query was settled by another reply.
  uint64_t duplicate = 0;  // Second reply to one sub-request.
  uint64_t foreign = 0;    // Carries the id of another sub-request.
  uint64_t invalid = 0;    // Wrong snapshot or number of records searched.
};

// Collaborators of a QueryTier. All outlive it.
struct QueryTierDeps {
  TimerService* timers = nullptr;
  BackendTransport* transport = nullptr;
  const SettingsView* settings = nullptr;
  ServerTable* servers = nullptr;
  HedgePolicy* hedging = nullptr;
  RetryBudget* retry_budget = nullptr;
  AdmissionController* admission = nullptr;
  ClaimStore* claims = nullptr;
  Quarantine* quarantine = nullptr;
  RandomSource random;
  // Prefix of sub-request ids; unique over instances and restarts.
  std::string id_prefix;
  // Called once for each answered request; not for one whose caller went away.
  std::function<void(const RequestOutcome&)> on_outcome;
};

// Decision logic of the tier: takes requests, answers each exactly once.
// Thread-safe. Never calls back from within Submit().
class QueryTier {
 public:
  virtual ~QueryTier() = default;

  virtual QueryHandle Submit(CallerRequest request, ReplyCallback done) = 0;
  // The caller went away: outstanding work is cancelled, `done` is not called.
  // An operation that was dispatched runs on to record its outcome.
  virtual void Cancel(QueryHandle handle) = 0;
  // Refuses new requests with kShuttingDown; `drained` is called once when no
  // request is in flight.
  virtual void Drain(std::function<void()> drained) = 0;
  virtual size_t in_flight() const = 0;
  virtual DroppedReplies dropped_replies() const { return {}; }

  static std::unique_ptr<QueryTier> Create(QueryTierDeps deps);
};

}  // namespace wasabihook

#endif  // WASABIHOOK_QUERY_TIER_H_
