#ifndef SRC_GATEWAY_EXCHANGE_H_
#define SRC_GATEWAY_EXCHANGE_H_

// PRIVATE HEADER.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/answer_policy.h"
#include "gateway/backend_server.h"
#include "gateway/caller_listener.h"
#include "gateway/crash_containment.h"
#include "gateway/gateway_context.h"
#include "gateway/request_times.h"
#include "gateway/route_table.h"

namespace wasabihook::gateway {

// Handles one request of a caller from its arrival to its answer. A request on
// a scatter route has one part for each shard; any other has a single part
// whose reply is forwarded. Each part is sent to one server first, and hedged
// or retried as far as the budget of its service allows. The request is
// answered exactly once, as DecideAnswer() determines.
class Exchange : public AttemptListener {
 public:
  // `team` is that of the caller; null if it is not known. `done` is called
  // once, when the request has ended; the exchange may be
  // destroyed from then on.
  Exchange(GatewayContext* context,
           RoutePtr route,
           TeamPtr team,
           InboundRequest request,
           Responder* responder,
           std::function<void(Exchange*)> done);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  // Moves the deadline to `answer_by` if it is later. The request gets its
  // final answer then: what was received so far, or a failure.
  void EndBy(TimePoint answer_by);
  void OnAttemptEnd(Attempt& attempt,
                    AttemptOutcome outcome,
                    MessageParser* reply) override;
  // Some server may have run the request, at least in part, or may yet do so.
  bool MayHaveRun() const;

 private:
  enum class PartState : uint8_t {
    kWaiting,  // Not sent yet: no server has capacity.
    kInFlight,
    kHeld,  // Lost; sent again once answers outweigh the losses.
    kAnswered,
    kFailed,
  };

  struct Part {
    Service* service = nullptr;
    PartState state = PartState::kWaiting;
    std::vector<Attempt*> outstanding;
    std::vector<BackendServer*> tried_servers;
    // Attempts, without those that are known not to have reached a server.
    uint32_t possible_deliveries = 0;
    bool hedge_done = false;
    // Server whose connection ended under the part, and when.
    BackendServer* lost_server = nullptr;
    TimePoint lost_at;
    // The server has ended, as far as this instance can see.
    bool crashed = false;
    TimePoint sent_at;
    // Reason of the failure, for the log.
    const char* failure = nullptr;
    std::string proof;
    std::string body;
  };

  // Initialization.
  void InitDeadlines(const InboundRequest& request);
  void BuildHead(const InboundRequest& request);
  // True for fields of the request that are not passed on as they are.
  bool IsOwnField(std::string_view name) const;
  // 0 is the most urgent.
  uint32_t Priority() const;
  // Quarantine of requests that crash servers.
  QuarantineStatus Quarantine() const;
  bool IsQuarantined() const {
    return Quarantine() == QuarantineStatus::kQuarantined;
  }
  bool MayCrashServers() const;
  // True if the query has to prove harmless at one server before it is sent to
  // all: servers of several shards are ending, or it is suspect.
  bool NeedsCanary() const;
  // True if the query is new and its objective leaves room for canaries.
  bool AffordsCanaries() const;
  // While servers are missing, the next one that a query ends may be the last
  // of its shard, so it gets one canary only.
  uint32_t RoutineCanaries() const;
  // A single shard has no others whose answers could tell more.
  bool SpansShards() const { return m_parts.size() > 1; }
  // True if the request is suspect, and no shard could do without another
  // server for now.
  bool MustWaitForServers() const;
  void RejectSuspect();
  // Sends the query to one server each of up to `count` shards.
  void StartCanaries(uint32_t count);
  // In [0, 1): an order of the shards that differs between instances. Under
  // overload, refusals then come from the same few shards, which limit the
  // queries that they admit the sooner.
  double RankOfInstance(const Part& part) const;
  // A canary that is late is joined by one at another shard.
  void JoinCanary();
  void OnCanaryAnswered();
  bool HasProvedHarmless(const Part& part) const;
  LossAction ActionAfterLoss(const Part& part) const;
  void OnPartLost(Part& part, BackendServer& server);
  // Some part was sent and is neither answered nor failed.
  bool HasOpenPart() const;
  void HoldPart(Part& part);
  // Sends one held part to another replica if the query has an answer. If that
  // is answered too, the others follow.
  void StartRetryCanary();
  void RetryHeldParts();
  // Tells lost connections from servers that have ended.
  void ResolveLosses();
  // Seen from the probe that follows a loss.
  bool IsResolved(const Part& part) const;
  void FailHeldParts();
  void Contain();
  void RejectQuarantined();
  // The instance stops before the request can be expected to end.
  void RejectForStop();
  // Parts.
  void AdmitParts();
  bool SendPart(Part& part, bool repeat, bool hedge = false);
  std::string RequestBytes(const BackendServer& server) const;
  bool MayRepeat(const Part& part, AttemptOutcome outcome) const;
  void StartPart(Part& part);
  bool TryRetry(Part& part, AttemptOutcome outcome);
  void RetryPart(Part& part, AttemptOutcome outcome);
  void HedgePart(Part& part);
  void ReplaceSlowConnects(Part& part);
  void FailPart(Part& part, const char* why);
  void SettlePart(Part& part, PartState state);
  void StoreReply(Part& part, MessageParser& reply);
  void StartWaitingParts();
  // Timer.
  void OnTimer();
  void ArmTimer();
  TimePoint NextTimerAt() const;
  // Completion.
  void Evaluate();
  void Answer();
  void AnswerMerged();
  void Fail();
  void OnCallerDisconnect();
  void AbandonAll();
  void Finish(int status, const char* why);
  std::optional<Duration> TimeUntilPausesEnd() const;
  std::string RetryAfterLine() const;
  std::string MissingParts() const;
  void LogEnd(int status, const char* why) const;

  GatewayContext* const m_context;
  const RoutePtr m_route;
  const TeamPtr m_team;
  Responder* m_responder;
  const std::function<void(Exchange*)> m_done;
  std::string m_request_id;
  const Fingerprint m_fingerprint;
  bool m_head_only = false;
  std::string m_head;  // Request line and header fields common to all parts.
  // Shared by the parts that are sent.
  std::shared_ptr<const std::string> m_body;
  TimePoint m_received_at;
  RequestTimes m_times;
  std::optional<Duration> m_round_trip;
  bool m_fits_before_stop = true;
  // Only canaries are sent until a server has answered one.
  bool m_cautious = false;
  // The canaries are those of a query that nothing speaks against.
  bool m_routine_canaries = false;
  TimePoint m_last_canary_at;
  // One lost part was sent to another replica, and was answered there.
  bool m_retry_canary_sent = false;
  bool m_retry_canary_answered = false;
  bool m_objective_passed = false;
  // The objective passes in the present call.
  bool m_answer_due = false;
  bool m_deadline_passed = false;
  bool m_defer_evaluation = false;
  bool m_finished = false;
  Duration m_hedge_delay{0};
  Duration m_median_latency{0};

  std::vector<Part> m_parts;
  uint32_t m_answered = 0;
  uint32_t m_failed = 0;
  uint32_t m_held = 0;
  // Held parts whose server has ended.
  uint32_t m_crashes = 0;
  // Losses that may be crashes: the server was not heard again.
  uint32_t m_unexplained_losses = 0;
  // Some attempt that has ended may have been run.
  bool m_may_have_run = false;
  uint32_t m_hedges = 0;
  uint32_t m_retries = 0;
  uint32_t m_refusals = 0;
  uint32_t m_losses = 0;
  // Reply to forward to the caller; only without a scatter.
  std::optional<OutboundResponse> m_reply;
  // Server of the last part that was answered, for the log.
  std::string m_last_server;
  std::optional<TimerHandle> m_timer;
  TimePoint m_timer_at;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_EXCHANGE_H_
