#include "wasabihook-soak/fault_proxy.h"

#include <sys/epoll.h>

#include <array>
#include <chrono>
#include <utility>
#include <vector>

#include "runtime/socket_address.h"

namespace wasabihook::soak {
namespace {

using gateway::IoResult;
using gateway::IoStatus;
using gateway::Socket;

constexpr size_t kBufferBytes = size_t{16} * 1024;
// Delay under LinkFault::kDelay. Longer than the hedge delay, so that delayed
// replies trigger hedges.
constexpr Duration kLinkDelay = std::chrono::milliseconds(40);

}  // namespace

// Socket of one end of a proxied connection, and its outgoing data.
class ProxyEnd : public gateway::IoHandler {
 public:
  ProxyEnd(gateway::EventLoop* loop,
           Socket socket,
           std::function<void()> on_readable)
      : m_loop(loop),
        m_socket(std::move(socket)),
        m_on_readable(std::move(on_readable)) {
    if (m_socket.open())
      m_loop->Watch(m_socket.fd(), m_events, this);
  }
  ~ProxyEnd() override { Close(); }

  bool open() const { return m_socket.open(); }
  void Close() {
    if (m_socket.open()) {
      m_loop->Unwatch(m_socket.fd());
      m_socket.Close();
    }
  }
  void Reset() {
    if (m_socket.open()) {
      m_loop->Unwatch(m_socket.fd());
      m_socket.Reset();
    }
  }
  void SetReading(bool reading) { SetEvents(reading, !m_out.empty()); }
  IoResult Read(std::string& into) {
    std::array<char, kBufferBytes> buffer;
    const IoResult result =
        gateway::ReadSome(m_socket.fd(), buffer.data(), buffer.size());
    if (result.status == IoStatus::kOk)
      into.append(buffer.data(), result.bytes);
    return result;
  }
  void Write(const std::string& data) {
    m_out += data;
    Flush();
  }
  void OnIo(uint32_t events) override {
    if (!m_socket.open())
      return;
    if ((events & EPOLLOUT) != 0)
      Flush();
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
      m_on_readable();
  }

 private:
  void Flush() {
    if (!m_socket.open())
      return;
    const IoResult result = gateway::WriteSome(m_socket.fd(), m_out);
    if (result.status == IoStatus::kOk)
      m_out.erase(0, result.bytes);
    SetEvents((m_events & EPOLLIN) != 0, !m_out.empty());
  }
  void SetEvents(bool reading, bool writing) {
    const uint32_t events =
        (reading ? EPOLLIN : 0U) | (writing ? EPOLLOUT : 0U);
    if (events == m_events || !m_socket.open())
      return;
    m_events = events;
    m_loop->UpdateWatch(m_socket.fd(), events, this);
  }

  gateway::EventLoop* const m_loop;
  Socket m_socket;
  const std::function<void()> m_on_readable;
  std::string m_out;
  uint32_t m_events = EPOLLIN;
};

class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
 public:
  ProxyConnection(FaultProxy* proxy, gateway::EventLoop* loop, Socket caller)
      : m_proxy(proxy),
        m_loop(loop),
        m_caller(std::make_unique<ProxyEnd>(loop,
                                            std::move(caller),
                                            [this] { OnReadable(true); })),
        m_server(
            std::make_unique<ProxyEnd>(loop,
                                       gateway::ConnectTo(proxy->m_target, {}),
                                       [this] { OnReadable(false); })) {}
  ~ProxyConnection() {
    m_loop->Retire(std::move(m_caller));
    m_loop->Retire(std::move(m_server));
  }

  void Apply(LinkFault fault) {
    const bool stalled = fault == LinkFault::kStall;
    m_caller->SetReading(!stalled && fault != LinkFault::kReplyOnly);
    m_server->SetReading(!stalled && fault != LinkFault::kRequestOnly);
  }
  void Reset() {
    m_caller->Reset();
    m_server->Reset();
  }

 private:
  void OnReadable(bool from_caller) {
    ProxyEnd& from = from_caller ? *m_caller : *m_server;
    std::string data;
    const IoResult result = from.Read(data);
    if (result.status == IoStatus::kWouldBlock)
      return;
    if (result.status != IoStatus::kOk) {
      m_caller->Close();
      m_server->Close();
      m_proxy->Remove(this);
      return;
    }
    if (m_proxy->m_fault != LinkFault::kDelay) {
      Forward(from_caller, data);
      return;
    }
    m_loop->SubscribeOnce(kLinkDelay, [weak = weak_from_this(), from_caller,
                                       data = std::move(data)] {
      if (const auto self = weak.lock())
        self->Forward(from_caller, data);
    });
  }
  void Forward(bool from_caller, const std::string& data) {
    (from_caller ? *m_server : *m_caller).Write(data);
  }

  FaultProxy* const m_proxy;
  gateway::EventLoop* const m_loop;
  std::unique_ptr<ProxyEnd> m_caller;
  std::unique_ptr<ProxyEnd> m_server;
};

FaultProxy::FaultProxy(gateway::EventLoop* loop, std::string target)
    : m_loop(loop),
      m_target(std::move(target)),
      m_socket(OpenListenSocket("127.0.0.1:0")),
      m_address(BoundAddress(m_socket.fd())) {
  m_loop->Watch(m_socket.fd(), EPOLLIN, this);
}

FaultProxy::~FaultProxy() {
  m_loop->Unwatch(m_socket.fd());
}

void FaultProxy::OnIo(uint32_t /*events*/) {
  while (true) {
    Socket caller = gateway::AcceptFrom(m_socket.fd(), {});
    if (!caller.open())
      return;
    auto connection =
        std::make_shared<ProxyConnection>(this, m_loop, std::move(caller));
    connection->Apply(m_fault);
    ProxyConnection* key = connection.get();
    m_connections.emplace(key, std::move(connection));
  }
}

void FaultProxy::Remove(ProxyConnection* connection) {
  m_connections.erase(connection);
}

void FaultProxy::SetFault(LinkFault fault) {
  m_fault = fault;
  for (const auto& [key, connection] : m_connections)
    connection->Apply(fault);
}

void FaultProxy::ResetAll() {
  for (const auto& [key, connection] : std::exchange(m_connections, {}))
    connection->Reset();
}

}  // namespace wasabihook::soak
