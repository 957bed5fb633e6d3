#ifndef SRC_DECISION_BURN_BURN_CELL_H_
#define SRC_DECISION_BURN_BURN_CELL_H_

#include "wasabihook/burn_counts.h"
#include "wasabihook/query_tier.h"

namespace wasabihook {

// Returns false for requests that were refused because of an error of the
// caller; they do not count for the objectives.
bool CountsForObjectives(const RequestOutcome& outcome);

// Adds one finished request to `cell`, with the causes if it is bad.
void AddOutcome(const RequestOutcome& outcome,
                Duration latency_objective,
                BurnCell& cell);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_CELL_H_
