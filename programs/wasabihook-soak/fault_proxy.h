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

// What a proxy does with the bytes of its connections.
enum class LinkFault : uint8_t {
  kNone,
  kDelay,        // Each read is passed on later.
  kSilent,       // Nothing is passed on, and new connections hang.
  kReplyOnly,    // Requests are held, replies pass.
  kRequestOnly,  // Requests pass, replies are held.
};

class ProxyConnection;

// TCP proxy on loopback with faults that are switched at run time.
class FaultProxy : public gateway::IoHandler {
 public:
  FaultProxy(gateway::EventLoop* loop, std::string target);
  ~FaultProxy() override;

  const std::string& address() const { return m_address; }
  void SetFault(LinkFault fault);
  LinkFault fault() const { return m_fault; }
  // Resets every open connection.
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
