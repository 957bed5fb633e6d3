#ifndef SRC_GATEWAY_PLATFORM_ADAPTER_H_
#define SRC_GATEWAY_PLATFORM_ADAPTER_H_

// PRIVATE HEADER. Interface between the gateway and the platform that it runs
// on: header names, routing configuration, server entries and calls to the
// key-value store. An adapter decodes the platform's formats into these types,
// which don't depend on any wire format.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/store_position.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Names of the header fields that the gateway reads or sets.
struct HeaderNames {
  std::string request_id;
  // Remaining time of the request, in milliseconds.
  std::string deadline;
  // Id of the server that a sub-request is addressed to; any other server
  // rejects it.
  std::string target_server;
  // Proof that the server processed the request, issued by the server with its
  // reply.
  std::string proof;
  // Present if the server did not execute the request.
  std::string not_run;
  // Proofs of the replies that were merged into an answer.
  std::string part_proofs;
  // Number of shards whose replies a merged answer lacks.
  std::string missing_parts;
  std::string retry_after;
  // Requests per second that the server takes from all instances together, for
  // as long as its answers name it.
  std::string server_limit;
  // "1" in all answers of a server that leaves.
  std::string server_leaving;
  // How often the store was restored from an older copy; in all its replies.
  std::string store_era;
  // Secret of a caller that names its team. Never passed on.
  std::string api_key;
  // Team of the caller, as stated to servers.
  std::string team;
};

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using RouteName = StrongId<struct RouteNameTag, std::string>;
using ConfigVersion = StrongId<struct ConfigVersionTag, uint64_t>;

struct WeightedService {
  ServiceName service;
  double weight = 1;
};

// One route of the configuration. Either `targets` or `gather` is set.
struct RouteConfig {
  RouteName name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  Duration timeout{0};
  // Latency objective; answers within this time have their full value.
  Duration objective{0};
  uint32_t priority = 0;
  // Servers that one request may be sent to, per shard.
  uint32_t max_attempts = 1;
  std::vector<WeightedService> targets;
  // Shards that a request is sent to; their replies are merged.
  std::vector<ServiceName> gather;
  // Number of records in a merged answer.
  uint32_t top_records = 0;
  // Minimum share of the shards that a merged answer must cover.
  Fraction min_shard_share;
  // Callers need no key, even if the configuration has teams.
  bool is_public = false;
};

// Requests that a team may send to all instances together.
struct Allowance {
  // Per second; 0: no limit.
  double rate = 0;
  double burst = 0;

  bool limited() const { return rate > 0; }
  friend bool operator==(const Allowance&, const Allowance&) = default;
};

// Callers that share keys and an allowance.
struct TeamConfig {
  TeamId id;
  // None while all its keys are withdrawn.
  std::vector<std::string> api_keys;
  // Takes precedence over the priority of the route.
  std::optional<uint32_t> priority;
  Allowance allowance;
};

struct ServiceConfig {
  ServiceName name;
  // Connections that each server accepts from all clients together.
  uint32_t max_connections = 0;
};

// Limits on the requests and connections of callers.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{256} * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RoutingConfig {
  ConfigVersion version;
  std::vector<RouteConfig> routes;
  std::vector<ServiceConfig> services;
  // Callers need a key if there are any.
  std::vector<TeamConfig> teams;
  CallerLimits limits;
};

enum class ServerState : uint8_t { kReady, kDraining };

// Entry that a server registers for itself.
struct ServerEntry {
  ServerId id;
  ServiceName service;
  std::string address;
  DataCentreId data_centre;
  uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  // Remaining warm-up time, during which the server is slower.
  Duration warm_up_left{0};
  // Start time as Unix time in milliseconds. Differs after a restart under the
  // same id.
  int64_t started_at_ms = 0;
  // Grows with each statement of one start of the server; empty if it names
  // none.
  std::optional<uint64_t> sequence;
};

// A key with its value, or the removal of a key.
struct StoreItem {
  std::string key;
  std::string value;
  Revision revision;
  bool removed = false;
  // Set by whoever reads the reply: the era, and whether it is a listing rather
  // than a change.
  StoreEra era{};
  bool listed = false;

  StorePosition position() const { return {.era = era, .revision = revision}; }
};

// HTTP request to the store, encoded by the adapter.
struct StoreCall {
  std::string method;
  std::string target;
  std::string body;
};

struct StoreReply {
  int status = 0;
  std::string body;
  std::optional<StoreEra> era{};
};

struct StoreListing {
  std::vector<StoreItem> items;
  // More keys follow after the last item.
  bool truncated = false;
  Revision revision;
};

// Encodes calls to the store and decodes its replies. Decoders throw an
// exception derived from std::exception if the body is malformed.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;
  // Lists the keys with the prefix that sort after `after`; all of them if it
  // is empty.
  virtual StoreCall List(const std::string& prefix,
                         const std::string& after) const = 0;
  // Waits up to `wait` for changes after `revision`.
  virtual StoreCall Watch(const std::string& prefix,
                          Revision revision,
                          Duration wait) const = 0;
  // Cheap call that shows whether the store answers. The revision in the reply
  // may be seconds old.
  virtual StoreCall Ping() const = 0;
  virtual StoreListing DecodeListing(std::string_view body) const = 0;
  virtual StoreListing DecodeEvents(std::string_view body) const = 0;
  virtual StoreCall GrantLease(Duration ttl) const = 0;
  virtual uint64_t DecodeLease(std::string_view body) const = 0;
  // Writes unconditionally.
  virtual StoreCall Put(const std::string& key,
                        std::string_view value,
                        uint64_t lease) const = 0;
  virtual StoreCall RenewLease(uint64_t lease) const = 0;
  // True if the store has discarded the history after the requested revision,
  // so that the keys must be listed again.
  virtual bool IsCompacted(int status) const = 0;
};

// What a key of the store holds.
enum class KeyKind : uint8_t {
  kRouting,
  kServer,
  kInstance,
  kQuarantine,
  kEvacuation,
  kOther
};

// Header names, key layout and decoders of one platform.
struct PlatformAdapter {
  HeaderNames headers;
  // Status with which a server rejects a request that is addressed to another.
  int wrong_server_status = 421;
  std::function<KeyKind(std::string_view key)> classify_key;
  // Returns the server id in the key of a server entry.
  std::function<ServerId(std::string_view key)> parse_server_id;
  // Returns the data centre in the key of an evacuation.
  std::function<DataCentreId(std::string_view key)> parse_evacuation;
  // Throw an exception derived from std::exception if the value is invalid.
  std::function<RoutingConfig(std::string_view value)> decode_routing;
  std::function<ServerEntry(const ServerId& id, std::string_view value)>
      decode_server;
  // Prefix of the keys under which gateway instances register.
  std::string instance_prefix;
  // Prefix of the keys of quarantined requests.
  std::string quarantine_prefix;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_PLATFORM_ADAPTER_H_
