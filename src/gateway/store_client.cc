#include "gateway/store_client.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {

StoreClient::StoreClient(EventLoop* loop,
                         std::string address,
                         std::string era_field)
    : m_loop(loop),
      m_address(std::move(address)),
      m_era_field(std::move(era_field)) {}

StoreClient::~StoreClient() {
  if (m_timeout)
    m_loop->Unsubscribe(*m_timeout);
  DropConnection();
}

void StoreClient::DropConnection() {
  if (m_connection == nullptr)
    return;
  m_connection->Close();
  m_loop->Retire(std::move(m_connection));
}

void StoreClient::Call(const StoreCall& call,
                       Duration timeout,
                       StoreCallback done) {
  m_done = std::move(done);
  if (m_connection == nullptr || !m_connection->usable()) {
    DropConnection();
    m_connection = std::make_unique<ServerConnection>(
        m_loop, this, m_address, &m_no_request_id_field,
        TcpTimeouts{.user_timeout = kStoreUserTimeout,
                    .keepalive = kStoreKeepalive},
        MessageLimits{.max_head_bytes = kMaxReplyHeadBytes,
                      .max_body_bytes = kMaxStoreReplyBytes});
  }
  m_timeout = m_loop->SubscribeOnce(timeout, [this] {
    m_timeout.reset();
    // After a lost reply, no further replies arrive on the connection.
    DropConnection();
    Finish(std::nullopt);
  });
  if (!m_connection->open())
    return;  // The timeout reports the failure.
  std::string bytes = call.method + " " + call.target +
                      " HTTP/1.1\r\nHost: " + m_address + "\r\n";
  if (!call.body.empty())
    bytes += "Content-Type: application/json\r\n";
  if (call.method != "GET")
    bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  bytes += "\r\n" + call.body;
  m_connection->Send(std::move(bytes), "", false);
}

bool StoreClient::Cancel() {
  if (!busy())
    return false;
  DropConnection();
  m_done = nullptr;
  Finish(std::nullopt);
  return true;
}

void StoreClient::Finish(std::optional<StoreReply> reply) {
  if (m_timeout)
    m_loop->Unsubscribe(*m_timeout);
  m_timeout.reset();
  const StoreCallback done = std::move(m_done);
  m_done = nullptr;
  if (done)
    done(std::move(reply));
}

void StoreClient::OnRequestEnd(ServerConnection& connection,
                               WireOutcome outcome) {
  if (outcome != WireOutcome::kReply) {
    Finish(std::nullopt);
    return;
  }
  Finish(StoreReply{.status = connection.reply().status(),
                    .body = connection.reply().TakeBody(),
                    .era = ReadEra(connection.reply().headers())});
}

std::optional<StoreEra> StoreClient::ReadEra(const HeaderList& headers) const {
  if (m_era_field.empty())
    return std::nullopt;
  const std::string_view text = headers.Find(m_era_field);
  uint64_t era = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), era);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return StoreEra(era);
}

void StoreClient::OnConnected(ServerConnection& /*connection*/) {}

void StoreClient::OnClosed(ServerConnection& connection, bool /*failed*/) {
  if (m_connection.get() == &connection)
    DropConnection();
}

}  // namespace wasabihook::gateway
