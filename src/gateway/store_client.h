#ifndef SRC_GATEWAY_STORE_CLIENT_H_
#define SRC_GATEWAY_STORE_CLIENT_H_

// PRIVATE HEADER.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/event_loop.h"
#include "gateway/platform_adapter.h"
#include "gateway/server_connection.h"

namespace wasabihook::gateway {

// Empty: no response came; the call may have taken effect.
using StoreCallback = std::function<void(std::optional<StoreReply>)>;

// Makes calls to the store over one connection, one at a time.
class StoreClient : public ConnectionOwner {
 public:
  StoreClient(EventLoop* loop, std::string address);
  ~StoreClient() override;
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // `done` is called once, never from within Call(). Only while !busy().
  void Call(const StoreCall& call, Duration timeout, StoreCallback done);
  bool busy() const { return m_done != nullptr; }
  // Gives up the call in progress without a callback; false if there is none.
  bool Cancel();

  void OnExchangeEnd(ServerConnection& connection,
                     WireOutcome outcome) override;
  void OnConnected(ServerConnection& connection) override;
  void OnClosed(ServerConnection& connection, bool failed) override;

 private:
  void DropConnection();
  void Finish(std::optional<StoreReply> reply);

  EventLoop* const m_loop;
  const std::string m_address;
  // The store's responses carry no request id.
  const std::string m_no_request_id_field;
  std::unique_ptr<ServerConnection> m_connection;
  StoreCallback m_done;
  std::optional<TimerHandle> m_timeout;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STORE_CLIENT_H_
