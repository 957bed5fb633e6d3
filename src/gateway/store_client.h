#ifndef SRC_GATEWAY_STORE_CLIENT_H_
#define SRC_GATEWAY_STORE_CLIENT_H_

// PRIVATE HEADER. HTTP client of the key-value store and of change feeds.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/event_loop.h"
#include "gateway/platform_adapter.h"
#include "gateway/server_connection.h"

namespace wasabihook::gateway {

// Receives the reply, or nullopt if none came; the call may still have taken
// effect.
using StoreCallback = std::function<void(std::optional<StoreReply>)>;

// Makes calls to one address over one persistent connection, one at a time.
class StoreClient : public ConnectionOwner {
 public:
  // `era_field`: header field with the era of the store; empty if the peer is
  // no store.
  StoreClient(EventLoop* loop, std::string address, std::string era_field = "");
  ~StoreClient() override;
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // `done` is called once, never from within Call(). Requires !busy().
  void Call(const StoreCall& call, Duration timeout, StoreCallback done);
  bool busy() const { return m_done != nullptr; }
  // Abandons the call in progress without running its callback. Returns false
  // if there is none.
  bool Cancel();

  void OnRequestEnd(ServerConnection& connection, WireOutcome outcome) override;
  void OnConnected(ServerConnection& connection) override;
  void OnClosed(ServerConnection& connection, bool failed) override;

  // Closes the connection, so that the next call opens another one. Requires
  // !busy().
  void DropConnection();

 private:
  void Finish(std::optional<StoreReply> reply);
  std::optional<StoreEra> ReadEra(const HeaderList& headers) const;

  EventLoop* const m_loop;
  const std::string m_address;
  const std::string m_era_field;
  // Empty header name, since the store's replies carry no request id.
  const std::string m_no_request_id_field;
  std::unique_ptr<ServerConnection> m_connection;
  StoreCallback m_done;
  std::optional<TimerHandle> m_timeout;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_STORE_CLIENT_H_
