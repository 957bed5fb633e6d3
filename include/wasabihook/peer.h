#ifndef WASABIHOOK_PEER_H_
#define WASABIHOOK_PEER_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wasabihook/burn_counts.h"
#include "wasabihook/ids.h"
#include "wasabihook/platform.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/units.h"

namespace wasabihook {

// Messages between instances. Every message names its sender.

struct PeerIdentity {
  InstanceId instance;
  Incarnation incarnation;
  std::string address;  // "ip:port"
  DataCentreId data_centre;
};

struct SubtreeRevision {
  std::string subtree;  // "teams/<team>" or "fleet"
  Revision revision;
};

// Sent periodically: XXH64 over all (subtree, revision) pairs, and the greatest
// revision. A receiver that differs answers with its full list.
struct DigestRequest {
  PeerIdentity from;
  uint64_t settings_hash = 0;
  Revision greatest_revision;
  bool leaving = false;
  std::vector<QuarantineEntry> quarantine;
  // Servers that the sender has learned are draining.
  std::vector<ServerId> draining_servers;
};

struct DigestResponse {
  PeerIdentity from;
  // Empty if the hashes are equal.
  std::vector<SubtreeRevision> revisions;
};

struct PullRequest {
  PeerIdentity from;
  std::vector<std::string> subtrees;
};

struct PulledSubtree {
  std::string subtree;
  Revision revision;
  std::string text;  // TOML
};

struct PullResponse {
  std::vector<PulledSubtree> subtrees;
};

// Sent by the aggregator of a data centre to collect burn counts.
struct BurnCountsRequest {
  PeerIdentity from;
  // Buckets of this incarnation of the receiver up to `acknowledged` are
  // durable. A successor at the same address ignores the acknowledgement.
  Incarnation receiver;
  uint64_t acknowledged = 0;
};

struct BurnCountsResponse {
  PeerIdentity from;
  // Oldest buckets that are not acknowledged, by sequence.
  std::vector<BurnBucket> buckets;
};

using PeerRequest = std::variant<DigestRequest, PullRequest, BurnCountsRequest>;
using PeerResponse =
    std::variant<DigestResponse, PullResponse, BurnCountsResponse>;

// Calls other instances. Thread-safe. One callback for each call, never from
// within Call(); empty if the peer did not answer in time.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void Call(const std::string& address,
                    PeerRequest request,
                    std::function<void(std::optional<PeerResponse>)> done) = 0;
};

// Receives calls of other instances; may be called from several threads.
using PeerHandler = std::function<PeerResponse(const PeerRequest&)>;

}  // namespace wasabihook

#endif  // WASABIHOOK_PEER_H_
