#ifndef SRC_GATEWAY_PLATFORM_ADAPTER_H_
#define SRC_GATEWAY_PLATFORM_ADAPTER_H_

// PRIVATE HEADER. What the gateway exchanges with the outside: names of header
// fields, the routing configuration and server entries. An adapter fills these
// types; nothing here depends on how they are written on the wire.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Names of the header fields that the gateway itself reads or sets.
struct HeaderNames {
  std::string request_id;
  // Time left, in milliseconds.
  std::string deadline;
  // Server that a sub-request is meant for; any other refuses it.
  std::string target_server;
  // Proof of a reply, issued by the server.
  std::string proof;
  // Present if the server did not run the request.
  std::string not_run;
  // Proofs of the parts of a merged answer.
  std::string part_proofs;
  // Number of shards that a merged answer leaves out.
  std::string missing_parts;
  std::string retry_after;
};

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using RouteName = StrongId<struct RouteNameTag, std::string>;
using ConfigVersion = StrongId<struct ConfigVersionTag, uint64_t>;

struct WeightedService {
  ServiceName service;
  double weight = 1;
};

// One route of the configuration. Either `gather` or `targets` is set.
struct RouteConfig {
  RouteName name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  Duration timeout{0};
  // Answers within this time are worth their full value.
  Duration objective{0};
  uint32_t priority = 0;
  // Servers that one request may be sent to; counted for each shard.
  uint32_t max_attempts = 1;
  std::vector<WeightedService> targets;
  // Shards that a request is sent to; the answers are merged.
  std::vector<ServiceName> gather;
  // Records of a merged answer.
  uint32_t top_records = 0;
  // Least share of the shards that a merged answer must cover.
  Fraction min_shard_share;
};

struct ServiceConfig {
  ServiceName name;
  // Connections that each server accepts from all callers together.
  uint32_t max_connections = 0;
};

// Bounds of what callers may send.
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
  CallerLimits limits;
};

enum class ServerState : uint8_t { kReady, kDraining };

// What a server says of itself in the registry.
struct ServerEntry {
  ServerId id;
  ServiceName service;
  std::string address;
  DataCentreId data_centre;
  uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  // Time for which the server is still slow after its start.
  Duration warm_up_left{0};
  // Unix milliseconds of the start; tells a restart under the same id.
  int64_t started_at_ms = 0;
};

// One key of the store, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  Revision revision;
  bool removed = false;
};

// A call to the store, as the adapter encodes it.
struct StoreCall {
  std::string method;
  std::string target;
  std::string body;
};

struct StoreReply {
  int status = 0;
  std::string body;
};

struct StoreListing {
  std::vector<StoreItem> items;
  // More keys follow the last item.
  bool truncated = false;
  Revision revision;
};

// Formats of the store's calls. Decoders throw std::runtime_error.
class StoreCodec {
 public:
  virtual ~StoreCodec() = default;
  // All keys from the beginning, or those after `after`.
  virtual StoreCall List(const std::string& prefix,
                         const std::string& after) const = 0;
  // Waits up to `wait` for changes after `revision`.
  virtual StoreCall Watch(const std::string& prefix,
                          Revision revision,
                          Duration wait) const = 0;
  // Cheap call that shows whether the store answers. The revision in its
  // listing may be seconds old.
  virtual StoreCall Ping() const = 0;
  virtual StoreListing DecodeListing(std::string_view body) const = 0;
  virtual StoreListing DecodeEvents(std::string_view body) const = 0;
  virtual StoreCall GrantLease(Duration ttl) const = 0;
  virtual uint64_t DecodeLease(std::string_view body) const = 0;
  // Writes without a condition.
  virtual StoreCall Put(const std::string& key,
                        std::string_view value,
                        uint64_t lease) const = 0;
  virtual StoreCall RenewLease(uint64_t lease) const = 0;
  // The history before the revision asked for is gone: list again.
  virtual bool IsCompacted(int status) const = 0;
};

// Kind of information that a key of the store holds.
enum class KeyKind : uint8_t { kRouting, kServer, kInstance, kOther };

// The adapter of one kind of deployment.
struct PlatformAdapter {
  HeaderNames headers;
  // Status of a refusal by a server that is not the one that was meant.
  int wrong_server_status = 421;
  std::function<KeyKind(std::string_view key)> classify_key;
  // Id in the key of a server entry.
  std::function<ServerId(std::string_view key)> parse_server_id;
  // Throw std::runtime_error if the value cannot be used.
  std::function<RoutingConfig(std::string_view value)> decode_routing;
  std::function<ServerEntry(const ServerId& id, std::string_view value)>
      decode_server;
  // Prefix of the keys of instances, which this project writes.
  std::string instance_prefix;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_PLATFORM_ADAPTER_H_
