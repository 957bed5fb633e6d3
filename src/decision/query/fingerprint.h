#ifndef SRC_DECISION_QUERY_FINGERPRINT_H_
#define SRC_DECISION_QUERY_FINGERPRINT_H_

#include "wasabihook/ids.h"
#include "wasabihook/request.h"

namespace wasabihook {

// XXH64 over kind, team, index set, payload and, unless it is a search, record
// key. Every instance computes the same value, so quarantine entries and claims
// can be compared.
Fingerprint FingerprintOf(const CallerRequest& request);

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_FINGERPRINT_H_
