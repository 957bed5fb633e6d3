#ifndef SRC_DECISION_ROUTING_RETRY_BUDGET_H_
#define SRC_DECISION_ROUTING_RETRY_BUDGET_H_

#include <memory>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Token bucket for each team, shared by hedges and retries, that limits their
// extra load to a configured share of the first attempts. Thread-safe.
class RetryBudget {
 public:
  virtual ~RetryBudget() = default;
  // Adds `share` of a token for a first attempt.
  virtual void OnFirstAttempt(const TeamId& team, Fraction share) = 0;
  // Takes one token for a retry; false if none is available.
  virtual bool TrySpend(const TeamId& team) = 0;
  // Takes one token for a hedge; false if that would leave less than the
  // reserve for retries. Hedges would otherwise use up the budget in normal
  // operation and leave none for retries when a server fails.
  virtual bool TrySpendForHedge(const TeamId& team) { return TrySpend(team); }
  // Returns the token of an attempt that was not sent.
  virtual void Refund(const TeamId& team) = 0;

  static std::unique_ptr<RetryBudget> Create();
};

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_RETRY_BUDGET_H_
