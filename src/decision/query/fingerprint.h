#ifndef SRC_DECISION_QUERY_FINGERPRINT_H_
#define SRC_DECISION_QUERY_FINGERPRINT_H_

#include "wasabihook/ids.h"
#include "wasabihook/request.h"

namespace wasabihook {

// Returns the XXH64 hash of kind, team, index set, payload and, except for
// searches, record key. All instances compute the same value, so quarantine
// entries and claims are comparable between them.
Fingerprint ComputeFingerprint(const CallerRequest& request);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_FINGERPRINT_H_
