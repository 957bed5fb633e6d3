#ifndef SRC_GATEWAY_SERVER_DIRECTORY_H_
#define SRC_GATEWAY_SERVER_DIRECTORY_H_

// PRIVATE HEADER.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gateway/connection_warmer.h"
#include "gateway/departed_servers.h"
#include "gateway/gateway_context.h"
#include "gateway/service.h"

namespace wasabihook::gateway {

// Where the entry of a server was read.
enum class EntrySource : uint8_t {
  // A listing may show what was written long before.
  kFirstListing,
  kListing,
  kChange,
};

// Services and servers as listed by the registry. An entry that is removed
// without a drain stays in use for a grace period: leases expire while the
// store is unavailable, and the entries return shortly after it does.
class ServerDirectory {
 public:
  explicit ServerDirectory(GatewayContext* context);
  ~ServerDirectory();
  ServerDirectory(const ServerDirectory&) = delete;
  ServerDirectory& operator=(const ServerDirectory&) = delete;

  // Returns the service called `name`; creates it if necessary.
  std::shared_ptr<Service> GetService(const ServiceName& name);
  // Sets the number of connections that each server of a service accepts from
  // all instances together.
  void SetMaxConnections(const ServiceName& name, uint32_t max_connections);
  void SetInstanceCount(uint32_t instances);
  // Recomputes this instance's share of each service, after a change of the
  // bounds in the settings.
  void UpdateServiceShares();

  // Adds or updates the server of `entry`, which the registry lists at
  // `position`; ignored if a newer position was applied.
  void Apply(ServerEntry entry, StorePosition position, EntrySource source);
  void Remove(const ServerId& id, StorePosition position);
  // Removes all servers that are not in `listed`, a complete listing at
  // `position`.
  void Reconcile(const std::vector<ServerId>& listed, StorePosition position);
  // Leases may have expired in an outage of the store, or were lost when it was
  // restored from an older copy. Extends pending removals, since the entries of
  // live servers return.
  void OnLeasesLost();

  // Number of servers by availability, for all values.
  std::map<Availability, size_t> CountByAvailability() const;
  size_t known() const { return m_servers.size(); }
  size_t usable() const;

 private:
  struct Record {
    std::shared_ptr<BackendServer> server;
    std::shared_ptr<Service> service;
    StorePosition position;
    // Time at which the removal takes effect unless the entry returns.
    std::optional<TimePoint> removal_at;
    bool removed = false;
  };

  void Add(ServerEntry entry, StorePosition position);
  void Drop(const ServerId& id);
  // True if `entry` is from before what is known of the server.
  bool IsOutdated(const ServerEntry& entry,
                  StorePosition position,
                  EntrySource source) const;
  Duration RemovalGrace() const;
  void Sweep();
  // Opens connections ahead of requests, a few at a time.
  void WarmUp(TimePoint now);

  GatewayContext* const m_context;
  std::map<ServiceName, std::shared_ptr<Service>> m_services;
  std::map<ServiceName, uint32_t> m_max_connections;
  std::unordered_map<ServerId, Record> m_servers;
  // Dropped servers with outstanding requests.
  std::vector<std::shared_ptr<BackendServer>> m_draining_servers;
  DepartedServers m_departed;
  uint32_t m_instances = 1;
  TimePoint m_instances_changed_at;
  std::optional<TimePoint> m_leases_lost_at;
  ConnectionWarmer m_warmer;
  TimerHandle m_sweep;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_DIRECTORY_H_
