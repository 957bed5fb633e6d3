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

// Cost and coverage of one finished request, for metrics and burn counts.
struct RequestOutcome {
  TeamId team;
  IndexSetId index_set;
  RequestKind kind = RequestKind::kSearch;
  Duration latency{0};
  // Fraction of the records covered; 0 for an error.
  Fraction coverage;
  bool complete = false;
  std::optional<ErrorCode> error;
  // Sub-requests sent, and the minimum needed without hedges and retries.
  uint32_t sub_requests_sent = 0;
  uint32_t sub_requests_needed = 0;
  // Groups missing from the answer, and the server with the slowest
  // sub-request.
  std::vector<ShardGroupId> missing_groups;
  std::optional<ServerId> slowest_server;
};

// Counts of dropped replies of backend servers.
struct DroppedReplies {
  uint64_t late = 0;       // The request no longer used the reply.
  uint64_t duplicate = 0;  // Further reply to an answered sub-request.
  uint64_t foreign = 0;    // Has the id of another sub-request.
  uint64_t invalid = 0;    // Wrong snapshot or number of records searched.
};

// Dependencies of a QueryTier. All must outlive it.
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
  // Prefix of sub-request ids; must be unique across instances and restarts.
  std::string id_prefix;
  // Called once per replied request; not for a request whose caller cancelled
  // or disconnected.
  std::function<void(const RequestOutcome&)> on_outcome;
};

// Decision logic of the query tier. Replies to each submitted request exactly
// once, unless it is cancelled. Thread-safe. Never calls back within Submit().
class QueryTier {
 public:
  virtual ~QueryTier() = default;

  virtual QueryHandle Submit(CallerRequest request, ReplyCallback done) = 0;
  // Called when the caller cancels or disconnects. Cancels outstanding work;
  // `done` is not called. An operation that was already dispatched continues,
  // so that its outcome is recorded.
  virtual void Cancel(QueryHandle handle) = 0;
  // Refuses new requests with kShuttingDown. Calls `drained` once, when no
  // request is in flight.
  virtual void Drain(std::function<void()> drained) = 0;
  virtual size_t in_flight() const = 0;
  virtual DroppedReplies dropped_replies() const { return {}; }

  static std::unique_ptr<QueryTier> Create(QueryTierDeps deps);
};

}  // namespace wasabihook

#endif  // WASABIHOOK_QUERY_TIER_H_
