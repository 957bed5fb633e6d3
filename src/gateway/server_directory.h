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

#include "gateway/gateway_context.h"
#include "gateway/service.h"

namespace wasabihook::gateway {

// Services and servers as the registry lists them. An entry that disappears
// without a drain is kept for a grace time: entries lapse while the store is
// away, and come back shortly after it.
class ServerDirectory {
 public:
  explicit ServerDirectory(GatewayContext* context);
  ~ServerDirectory();
  ServerDirectory(const ServerDirectory&) = delete;
  ServerDirectory& operator=(const ServerDirectory&) = delete;

  // The service of that name, created if it is new.
  std::shared_ptr<Service> GetService(const ServiceName& name);
  // Connections that each server of a service accepts.
  void SetMaxConnections(const ServiceName& name, uint32_t max_connections);
  void SetInstanceCount(uint32_t instances);
  // Bounds of the settings changed.
  void UpdateServiceShares();

  // The registry lists `entry` at `revision`. Older news is ignored. `log`:
  // write a line for a new server.
  void Apply(ServerEntry entry, Revision revision, bool log = true);
  void Remove(const ServerId& id, Revision revision);
  // A complete listing was read: servers that are not in `listed` are gone.
  void Reconcile(const std::vector<ServerId>& listed, Revision revision);
  // The store answers again after it did not.
  void OnStoreReachable();

  size_t known() const { return m_servers.size(); }
  size_t usable() const;

 private:
  struct Record {
    std::shared_ptr<BackendServer> server;
    std::shared_ptr<Service> service;
    Revision revision;
    // When the removal takes effect unless the entry returns.
    std::optional<TimePoint> removal_at;
    bool removed = false;
  };

  void Add(ServerEntry entry, Revision revision);
  void Drop(const ServerId& id);
  Duration RemovalGrace() const;
  void Sweep();

  GatewayContext* const m_context;
  std::map<ServiceName, std::shared_ptr<Service>> m_services;
  std::map<ServiceName, uint32_t> m_max_connections;
  std::unordered_map<ServerId, Record> m_servers;
  // Dropped servers that still owe replies.
  std::vector<std::shared_ptr<BackendServer>> m_draining_servers;
  uint32_t m_instances = 1;
  std::optional<TimePoint> m_store_regained_at;
  TimerHandle m_sweep;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_SERVER_DIRECTORY_H_
