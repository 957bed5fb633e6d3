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
#include "gateway/gateway_context.h"
#include "gateway/request_times.h"
#include "gateway/route_table.h"

namespace wasabihook::gateway {

// One request of a caller from its arrival to its answer: one part for each
// shard of its route, or a single part whose reply is passed on. Each part is
// sent to one server at first, hedged and retried within the budget, and the
// request is answered once by the policy of its route.
class Exchange : public AttemptListener {
 public:
  // `done` is called once, when the exchange may be destroyed.
  Exchange(GatewayContext* context,
           RoutePtr route,
           InboundRequest request,
           Responder* port,
           std::function<void(Exchange*)> done);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void Start();
  void OnAttemptEnd(Attempt& attempt,
                    AttemptOutcome outcome,
                    MessageParser* reply) override;

 private:
  enum class PartState : uint8_t {
    kWaiting,  // No server can take it yet.
    kAsked,
    kAnswered,
    kFailed,
  };

  struct Part {
    Service* service = nullptr;
    PartState state = PartState::kWaiting;
    std::vector<Attempt*> live;
    std::vector<BackendServer*> tried;
    // Sends that may have reached a server.
    uint32_t arrivals = 0;
    bool hedge_done = false;
    TimePoint sent_at;
    // Why the part failed, for the log.
    const char* failure = nullptr;
    std::string proof;
    std::string body;
  };

  // Set-up.
  void ReadDeadlines(const InboundRequest& request);
  void BuildHead(const InboundRequest& request);
  // Parts.
  void AdmitParts();
  bool SendPart(Part& part, bool repeat);
  std::string RequestBytes(const BackendServer& server) const;
  bool MayRepeat(const Part& part, AttemptOutcome outcome) const;
  void StartPart(Part& part);
  bool TryRetry(Part& part, AttemptOutcome outcome);
  void RetryPart(Part& part, AttemptOutcome outcome);
  void HedgePart(Part& part);
  void ReplaceConnecting(Part& part);
  void FailPart(Part& part, const char* why);
  void SettlePart(Part& part, PartState state);
  void TakeReply(Part& part, MessageParser& reply);
  void RecheckWaiting();
  // Timing.
  void OnTimer();
  void Arm();
  TimePoint NextWake() const;
  // End.
  void Evaluate();
  void Answer();
  void AnswerMerged();
  void Fail();
  void OnCallerGone();
  void AbandonAll();
  void Finish(int status, const char* why);
  std::string RetryAfterLine() const;
  std::string MissingParts() const;
  void LogEnd(int status, const char* why) const;

  GatewayContext* const m_context;
  const RoutePtr m_route;
  Responder* m_port;
  const std::function<void(Exchange*)> m_done;
  std::string m_request_id;
  bool m_head_only = false;
  std::string m_head;  // Request line and fields that all parts share.
  std::string m_body;
  TimePoint m_received_at;
  RequestTimes m_times;
  bool m_objective_passed = false;
  bool m_deadline_passed = false;
  bool m_starting = false;
  bool m_finished = false;
  Duration m_hedge_delay{0};
  Duration m_usual{0};

  std::vector<Part> m_parts;
  uint32_t m_answered = 0;
  uint32_t m_failed = 0;
  // Some server may have begun to run the request.
  bool m_may_have_run = false;
  uint32_t m_hedges = 0;
  uint32_t m_retries = 0;
  uint32_t m_refusals = 0;
  uint32_t m_losses = 0;
  // Reply that a single request passes on.
  std::optional<OutboundResponse> m_reply;
  // Last server of the part that ended the request or held it up.
  std::string m_slow_server;
  std::optional<TimerHandle> m_timer;
  TimePoint m_timer_at;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_EXCHANGE_H_
