#ifndef SRC_GATEWAY_BACKEND_SERVER_H_
#define SRC_GATEWAY_BACKEND_SERVER_H_

// PRIVATE HEADER.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_context.h"
#include "gateway/platform_adapter.h"
#include "gateway/server_connection.h"
#include "gateway/server_health.h"

namespace wasabihook::gateway {

class BackendServer;

// How a sub-request ended, as far as it matters to the request it belongs to.
enum class AttemptOutcome : uint8_t {
  kReply,        // A whole reply that is no failure.
  kFailure,      // A whole reply with a 5xx status: the server ran the work.
  kRefused,      // The server states that it did not run the work.
  kWrongServer,  // Another server has the address; not run.
  kNotSent,      // No byte was handed over.
  kLost,         // No usable reply; the work may have run.
};
const char* ToString(AttemptOutcome outcome);
// True if the outcome proves that the server did not run the work.
bool IsProvablyNotRun(AttemptOutcome outcome);

struct Attempt;

class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  // `reply` is set for every outcome with a reply and valid during the call,
  // `attempt` too.
  virtual void OnAttemptEnd(Attempt& attempt,
                            AttemptOutcome outcome,
                            MessageParser* reply) = 0;
};

// One sub-request on one server.
struct Attempt {
  // Null once nobody waits for the reply.
  AttemptListener* listener = nullptr;
  size_t part = 0;
  BackendServer* server = nullptr;
  ServerConnection* connection = nullptr;
  TimePoint sent_at;
  // Median latency of the route when the attempt was sent; 0 if unknown.
  Duration usual{0};
  bool repeat = false;
  std::optional<TimePoint> abandoned_at;
};

// Work to hand to a server.
struct ServerRequest {
  AttemptListener* listener = nullptr;
  size_t part = 0;
  std::string bytes;
  std::string request_id;
  bool head_only = false;
  // The server may run it once only: a connection that may have been dropped
  // by the server must not be used.
  bool once = false;
  bool repeat = false;
  Duration usual{0};
};

// One backend server process: its connections and what was observed of it.
class BackendServer : public ConnectionOwner {
 public:
  BackendServer(GatewayContext* context, ServerEntry entry);
  ~BackendServer() override;

  const ServerEntry& entry() const { return m_entry; }
  // Adopts a newer entry. A restart under the same id starts anew.
  void Update(ServerEntry entry);
  void SetConnectionLimit(uint32_t limit) { m_connection_limit = limit; }

  // Draining, or gone: no new work, and idle connections are closed.
  void Retire(TimePoint now);
  void Unretire() { m_retired_at.reset(); }
  bool retired() const { return m_retired_at.has_value(); }
  std::optional<TimePoint> retired_at() const { return m_retired_at; }

  // A connection is free or may be opened.
  bool HasConnection() const;
  // Requires HasConnection().
  Attempt* Send(ServerRequest request);
  // Nobody waits for `attempt` any more. The reply is awaited for a while so
  // that the connection can be kept, unless `close_now`.
  void Abandon(Attempt* attempt, bool close_now);
  // The connection of `attempt` takes too long, and no byte was handed over:
  // drops it and takes the server for unreachable.
  void GiveUpConnecting(Attempt* attempt);
  // Nobody waits for `attempt` any more, but the work must not be cut short.
  void Detach(Attempt* attempt) { attempt->listener = nullptr; }
  // Ends connections that take too long. Called periodically.
  void Sweep(TimePoint now);

  uint32_t outstanding() const { return m_outstanding; }
  // Replies are owed for longer than usual.
  bool IsStalled(TimePoint now) const;
  const ServerHealth& health() const { return m_health; }
  ServerHealth& health() { return m_health; }
  TimePoint warm_at() const { return m_warm_at; }
  bool idle() const { return m_outstanding == 0; }
  size_t connections() const { return m_slots.size(); }
  // The server has no work and no open connection.
  void CloseIdle();

  void OnExchangeEnd(ServerConnection& connection,
                     WireOutcome outcome) override;
  void OnConnected(ServerConnection& connection) override;
  void OnClosed(ServerConnection& connection, bool failed) override;

 private:
  struct Slot {
    std::unique_ptr<ServerConnection> connection;
    std::unique_ptr<Attempt> attempt;
  };

  void CloseSlow(TimePoint now);
  // Finds out with a connection of its own whether a server that is down is
  // back, so that no request has to.
  void Probe(TimePoint now);
  Slot* FindIdle(bool once);
  Slot& OpenConnection();
  Slot* SlotOf(const ServerConnection& connection);
  void Remove(const ServerConnection& connection);
  AttemptOutcome Classify(WireOutcome outcome, MessageParser& reply) const;
  void Learn(const Attempt& attempt, AttemptOutcome outcome);
  void LearnMisdirected(TimePoint now);
  // Changes of the belief whether the server can be reached; each is logged.
  void MarkUnreachable(const char* why);
  void MarkReachable();

  GatewayContext* const m_context;
  ServerEntry m_entry;
  ServerHealth m_health;
  std::vector<Slot> m_slots;
  uint32_t m_connection_limit = 1;
  uint32_t m_outstanding = 0;
  TimePoint m_warm_at;
  std::optional<TimePoint> m_retired_at;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_BACKEND_SERVER_H_
