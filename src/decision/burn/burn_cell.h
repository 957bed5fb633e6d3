#ifndef SRC_DECISION_BURN_BURN_CELL_H_
#define SRC_DECISION_BURN_BURN_CELL_H_

#include "wasabihook/burn_counts.h"
#include "wasabihook/query_tier.h"

namespace wasabihook {

// True if the request counts against the objectives. Requests refused for the
// caller's own mistake do not.
bool CountsForObjectives(const RequestOutcome& outcome);

// Adds one finished request to `cell`, with the causes of any burn.
void AddOutcome(const RequestOutcome& outcome,
                Duration latency_objective,
                BurnCell& cell);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_CELL_H_
