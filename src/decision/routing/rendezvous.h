#ifndef SRC_DECISION_ROUTING_RENDEZVOUS_H_
#define SRC_DECISION_ROUTING_RENDEZVOUS_H_

// Rendezvous (highest random weight) hashing with XXH64. Instances with the
// same candidates choose the same winners, and adding or removing a candidate
// remaps only the keys that it wins or won.

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wasabihook {

// Indices into `candidates` of the `k` winners for `key`, best first; all of
// them if there are fewer than `k`. Does not depend on the order of
// `candidates`, which must be distinct.
std::vector<size_t> RendezvousTopK(std::string_view key,
                                   std::span<const std::string> candidates,
                                   size_t k);

// Weight of `candidate` for `key`, uniform in [0, 1): equal on all instances.
double RendezvousWeight(std::string_view key, std::string_view candidate);

}  // namespace wasabihook

#endif  // SRC_DECISION_ROUTING_RENDEZVOUS_H_
