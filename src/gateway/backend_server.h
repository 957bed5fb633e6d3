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
#include "gateway/server_availability.h"
#include "gateway/server_connection.h"
#include "gateway/server_health.h"

namespace wasabihook::gateway {

class BackendServer;

// Result of a sub-request, as seen by the request it belongs to.
enum class AttemptOutcome : uint8_t {
  kReply,         // Complete reply with a status below 500.
  kFailure,       // Complete reply with a 5xx status; the request was run.
  kRefused,       // The server states that it did not run the request.
  kWrongServer,   // Another server has taken over the address; not run.
  kNotSent,       // No byte was written to the connection.
  kLost,          // The connection ended; the server may have run the request.
  kInvalidReply,  // No valid reply; the server may have run the request.
};
const char* ToString(AttemptOutcome outcome);
// True if the outcome proves that the server did not run the request.
bool IsProvablyNotRun(AttemptOutcome outcome);

struct Attempt;

class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  // `reply` is null if the attempt ended without a reply. Both `attempt` and
  // `reply` are valid only during the call.
  virtual void OnAttemptEnd(Attempt& attempt,
                            AttemptOutcome outcome,
                            MessageParser* reply) = 0;
};

// A sub-request sent to one server.
struct Attempt {
  // Null once the reply is no longer needed.
  AttemptListener* listener = nullptr;
  size_t part = 0;
  BackendServer* server = nullptr;
  ServerConnection* connection = nullptr;
  std::string request_id;
  Fingerprint fingerprint;
  TimePoint sent_at;
  // Median latency of the route when the attempt was sent; 0 if unknown.
  Duration median_latency{0};
  // Deadline of the request.
  TimePoint deadline;
  // The attempt is a hedge or a retry.
  bool repeat = false;
  std::optional<TimePoint> abandoned_at;
  // The attempt was reported to the observer.
  bool observed = false;
};

// Parameters of BackendServer::Send().
struct ServerRequest {
  AttemptListener* listener = nullptr;
  size_t part = 0;
  std::string bytes;
  // Follows `bytes`; may be null.
  std::shared_ptr<const std::string> shared_body{};
  std::string request_id;
  Fingerprint fingerprint;
  bool head_only = false;
  // The request must not be repeated, so it is not sent on a connection that
  // has been idle for long: the server may have closed it.
  bool non_idempotent = false;
  bool repeat = false;
  TimePoint deadline;
  Duration median_latency{0};
};

// A backend server process: its connections and its health as observed by this
// instance.
class BackendServer : public ConnectionOwner {
 public:
  BackendServer(GatewayContext* context, ServerEntry entry);
  ~BackendServer() override;

  const ServerEntry& entry() const { return m_entry; }
  // Applies a newer registry entry. If the server was restarted under the same
  // id, its health is reset and its idle connections are closed.
  void Update(ServerEntry entry);
  void SetConnectionLimit(uint32_t limit) { m_connection_limit = limit; }

  // This start of the server has ended.
  void ReportEnd();

  // Stops new requests because the server is draining or was removed, and
  // closes its idle connections. Outstanding requests are completed.
  void StartDraining(TimePoint now);
  void StopDraining() { m_availability.OnListedReady(); }
  bool draining() const { return m_availability.leaving(); }

  Availability AvailabilityAt(TimePoint now) const {
    return m_availability.At(now, m_health.down());
  }
  bool IsSound(TimePoint now) const {
    return AvailabilityAt(now) == Availability::kSound;
  }
  bool IsPaused(TimePoint now) const { return m_availability.IsPaused(now); }
  // End of the present or last pause that the server asked for.
  std::optional<TimePoint> paused_until() const {
    return m_availability.paused_until();
  }
  // See ServerAvailability::IsUsable().
  bool IsUsable(TimePoint now, bool others) const {
    return m_availability.IsUsable(now, others);
  }

  // The server names a limit, and whether this instance's share of it allows a
  // request now.
  bool IsLimited() const;
  bool MaySend(TimePoint now) const;
  // See ServerLimits::OnDemand().
  void OnDemand(double requests, TimePoint now);

  // True if a connection is idle or another one may be opened.
  bool HasConnection() const;
  // Opens a connection ahead of the first request.
  void WarmUp() { OpenConnection().warm_up = true; }
  // Starts an attempt. Requires HasConnection().
  Attempt* Send(ServerRequest request);
  // Drops interest in the reply to `attempt`. The connection is kept open for
  // kAbandonedReplyTimeout to read the reply, so that it can be reused. It is
  // closed at once if `close_now` is set or it is not connected yet.
  void Abandon(Attempt* attempt, bool close_now);
  // Closes the connection of `attempt`, which takes too long to be established
  // and has sent nothing, and marks the server as unreachable.
  void AbortConnect(Attempt* attempt);
  // Reports that the reply to `attempt` is overdue.
  void ObserveOverdue(Attempt* attempt);
  // True if other instances agree that the server is slow or fails, unless it
  // has just answered this one well.
  bool IsOutlier(TimePoint now) const;
  // Latency relative to the median of the route, as this instance and the fleet
  // see it.
  double Pace(TimePoint now) const;
  // Drops interest in the reply to `attempt`, but lets the request run until
  // its deadline.
  void Detach(Attempt* attempt);
  // Opens a connection, to see at once whether the server has ended.
  void ProbeNow(TimePoint now);
  // Closes connections that timed out and probes a server that is down. Called
  // periodically.
  void Sweep(TimePoint now);

  uint32_t outstanding() const { return m_outstanding; }
  // True if a reply is overdue; see ServerHealth::IsStalled().
  bool IsStalled(TimePoint now) const;
  const ServerHealth& health() const { return m_health; }
  ServerHealth& health() { return m_health; }
  TimePoint warm_up_end() const { return m_warm_up_end; }
  bool idle() const { return m_outstanding == 0; }
  size_t connections() const { return m_slots.size(); }
  // Closes all connections without an attempt.
  void CloseIdle();

  void OnRequestEnd(ServerConnection& connection, WireOutcome outcome) override;
  void OnConnected(ServerConnection& connection) override;
  void OnClosed(ServerConnection& connection, bool failed) override;

 private:
  struct Slot {
    std::unique_ptr<ServerConnection> connection;
    std::unique_ptr<Attempt> attempt;
    // Opened ahead of requests and not used yet.
    bool warm_up = false;
  };

  void CloseTimedOut(TimePoint now);
  // Opens a connection to a server that is down, to detect its recovery without
  // risking a request.
  void Probe(TimePoint now);
  Slot* FindIdle(bool non_idempotent);
  Slot& OpenConnection();
  Slot* FindSlot(const ServerConnection& connection);
  void Remove(const ServerConnection& connection);
  AttemptOutcome Classify(WireOutcome outcome, MessageParser& reply) const;
  void RecordOutcome(Attempt& attempt, AttemptOutcome outcome);
  // Tell the quarantine what the end of an attempt says about the request and
  // the server, and that this start of the server has ended.
  void ReportCrashEvidence(const Attempt& attempt,
                           AttemptOutcome result,
                           WireOutcome outcome);

  // A connection ended as it does when the server ends.
  void ReportLoss(TimePoint now);
  // The server may say in an answer that it leaves.
  void ApplyLeaving(AttemptOutcome result, const HeaderList& headers);
  // The server may say in a refusal for how long it wants no more requests.
  void ApplyPause(AttemptOutcome result, const MessageParser& reply);
  // Applies that this or another instance has heard so.
  void CheckLeaving();
  // Applies the limit that the server names in an answer, or its end.
  void ApplyLimit(AttemptOutcome result, const HeaderList& headers);
  void LogLoss(const Attempt& attempt, WireOutcome outcome);
  void Observe(Attempt& attempt, bool bad);
  bool IsSlow(const Attempt& attempt, TimePoint now) const;
  void RecordMisdirected(TimePoint now);
  // Update the reachability of the server and log each transition.
  void MarkUnreachable(const char* why);
  void MarkReachable();

  GatewayContext* const m_context;
  ServerEntry m_entry;
  ServerKey m_key;
  const ServiceKey m_service_key;
  TimePoint m_last_good_reply;
  ServerHealth m_health;
  std::vector<Slot> m_slots;
  uint32_t m_connection_limit = 1;
  uint32_t m_outstanding = 0;
  TimePoint m_warm_up_end;
  ServerAvailability m_availability;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_BACKEND_SERVER_H_
