#ifndef PROGRAMS_WASABIHOOK_SOAK_FAULT_PROXY_H_
#define PROGRAMS_WASABIHOOK_SOAK_FAULT_PROXY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "gateway/event_loop.h"
#include "gateway/socket.h"

namespace wasabihook::soak {

// Fault that a proxy applies to all its connections.
enum class LinkFault : uint8_t {
  kNone,
  kDelay,        // Data is forwarded after a fixed delay.
  kStall,        // Connections are accepted, but no data is forwarded.
  kReplyOnly,    // Only data from the server is forwarded.
  kRequestOnly,  // Only data from the client is forwarded.
};

class ProxyConnection;

// TCP proxy on the loopback interface that injects faults into its connections.
// The fault can be changed at run time.
class FaultProxy : public gateway::IoHandler {
 public:
  FaultProxy(gateway::EventLoop* loop, std::string target);
  ~FaultProxy() override;

  const std::string& address() const { return m_address; }
  void SetFault(LinkFault fault);
  LinkFault fault() const { return m_fault; }
  // Closes every open connection with a TCP reset.
  void ResetAll();

  void OnIo(uint32_t events) override;

 private:
  friend class ProxyConnection;
  void Remove(ProxyConnection* connection);

  gateway::EventLoop* const m_loop;
  const std::string m_target;
  gateway::Socket m_socket;
  std::string m_address;
  LinkFault m_fault = LinkFault::kNone;
  std::unordered_map<ProxyConnection*, std::shared_ptr<ProxyConnection>>
      m_connections;
};

}  // namespace wasabihook::soak

#endif  // PROGRAMS_WASABIHOOK_SOAK_FAULT_PROXY_H_
