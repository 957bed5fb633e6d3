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

// Messages between instances. Each request contains the identity of its sender.

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

// Sent periodically: XXH64 over all (subtree, revision) pairs and the greatest
// revision. If the hashes differ, the receiver answers with its revisions.
struct DigestRequest {
  PeerIdentity from;
  uint64_t settings_hash = 0;
  Revision greatest_revision;
  bool leaving = false;
  std::vector<QuarantineEntry> quarantine;
  // Servers that are draining, as far as the sender knows.
  std::vector<ServerId> draining_servers;
};

struct DigestResponse {
  PeerIdentity from;
  // Empty if the hashes are equal. Only revisions above the sender's greatest
  // one in most responses to a sender that is behind.
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

// Sent by the aggregator of a data centre to collect error-budget burn counts.
struct BurnCountsRequest {
  PeerIdentity from;
  // Incarnation of the receiver whose buckets up to sequence number
  // `acknowledged` are durable. Another incarnation at the same address ignores
  // the acknowledgement.
  Incarnation receiver;
  uint64_t acknowledged = 0;
};

struct BurnCountsResponse {
  PeerIdentity from;
  // Oldest unacknowledged buckets, sorted by sequence number.
  std::vector<BurnBucket> buckets;
};

using PeerRequest = std::variant<DigestRequest, PullRequest, BurnCountsRequest>;
using PeerResponse =
    std::variant<DigestResponse, PullResponse, BurnCountsResponse>;

// Calls other instances. Thread-safe. Each call leads to exactly one callback,
// never from within Call(); the response is empty if the peer did not answer in
// time.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  virtual void Call(const std::string& address,
                    PeerRequest request,
                    std::function<void(std::optional<PeerResponse>)> done) = 0;
};

// Handles requests from other instances; called from several threads.
using PeerHandler = std::function<PeerResponse(const PeerRequest&)>;

}  // namespace wasabihook

#endif  // WASABIHOOK_PEER_H_
