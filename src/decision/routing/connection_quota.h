#ifndef SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_
#define SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_

#include <cstdint>

namespace wasabihook {

// Connections that each of `live_instances` may open to a server that accepts
// `max_connections` over all instances. A reserve stays unused, so that
// instances that arrive before those they replace have left, or that learn of a
// change at different times, do not exceed the limit together. At least 1: with
// more instances than the limit less its reserve, the caller has to choose
// which of them use the server.
uint32_t ConnectionQuota(uint32_t max_connections, uint32_t live_instances);

// Instances beyond `live_instances` that may hold their full quota at the same
// time without exceeding `max_connections`.
uint32_t ReplacementHeadroom(uint32_t max_connections, uint32_t live_instances);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_
