#ifndef SRC_DECISION_ROUTING_RETRY_BUDGET_H_
#define SRC_DECISION_ROUTING_RETRY_BUDGET_H_

#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Token bucket per team that hedges and retries share, so that they add no more
// than a set share of load. Thread-safe.
class RetryBudget {
 public:
  virtual ~RetryBudget() = default;
  // Earns `share` of a token for each first attempt.
  virtual void OnFirstAttempt(const TeamId& team, Fraction share) = 0;
  // Takes one token for a retry; false if there is none.
  virtual bool TrySpend(const TeamId& team) = 0;
  // Takes one token for a hedge; false if that would leave less than the
  // reserve for retries. Hedges at the learned delay would otherwise use up the
  // budget in ordinary operation and leave nothing when a server fails.
  virtual bool TrySpendForHedge(const TeamId& team) { return TrySpend(team); }
  // Returns a token whose attempt was not sent.
  virtual void Refund(const TeamId& team) = 0;

  static std::unique_ptr<RetryBudget> Create();
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_RETRY_BUDGET_H_
