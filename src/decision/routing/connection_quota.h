#ifndef SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_
#define SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_

#include <cstdint>

namespace wasabihook {

// Connections that each of `live_instances` may open to a server that accepts
// `max_connections` over all instances. A reserve (kConnectionReserve) is left
// unused, so that the total stays within the limit while replacements overlap
// with the instances that they replace and while instances have different views
// of the membership. Returns at least 1; if there are more instances than
// usable connections, the caller has to choose which of them use the server.
uint32_t ConnectionQuota(uint32_t max_connections, uint32_t live_instances);

// Number of instances in addition to `live_instances` that can use their full
// quota at the same time without exceeding `max_connections`.
uint32_t ReplacementHeadroom(uint32_t max_connections, uint32_t live_instances);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_CONNECTION_QUOTA_H_
