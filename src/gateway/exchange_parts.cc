// Parts of an exchange: admission, attempts, retries and hedges.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/request_fingerprint.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kUnavailable = 503;
// Share of a service's retry budget that hedges leave for retries.
constexpr double kRetryReserveShare = 0.15;

bool IsSuccess(int status) {
  return status >= kOk && status < kFirstRedirect;
}

// Header fields of a reply that are forwarded to the caller.
std::string ForwardedLines(const HeaderList& headers) {
  std::string out;
  const HopByHopFields hop_by_hop(headers.Find("Connection"));
  for (size_t i = 0; i < headers.size(); ++i) {
    const HeaderList::Field field = headers.at(i);
    if (hop_by_hop.Contains(field.name) ||
        EqualsIgnoreCase(field.name, "Content-Length"))
      continue;
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  return out;
}

}  // namespace

void Exchange::Start() {
  if (IsQuarantined()) {
    RejectQuarantined();
    return;
  }
  if (!m_fits_before_stop) {
    RejectForStop();
    return;
  }
  if (m_route->scatters()) {
    m_parts.resize(m_route->services.size());
    for (size_t i = 0; i < m_parts.size(); ++i)
      m_parts[i].service = m_route->services[i].get();
  } else {
    m_parts.resize(1);
    m_parts[0].service = NextTarget(*m_route);
  }
  AdmitParts();

  if (MustWaitForServers()) {
    RejectSuspect();
    return;
  }
  m_cautious = NeedsCanary();
  m_routine_canaries = !m_cautious && AffordsCanaries();
  m_defer_evaluation = true;
  if (m_routine_canaries) {
    m_cautious = true;
    StartCanaries(RoutineCanaries());
  } else if (m_cautious) {
    StartCanaries(1);
  } else {
    for (Part& part : m_parts) {
      if (part.state == PartState::kWaiting)
        StartPart(part);
    }
  }
  m_defer_evaluation = false;
  Evaluate();
}

// Uses one random draw for all parts, so that overloaded shards reject the same
// requests.
void Exchange::AdmitParts() {
  const double draw = m_context->Uniform();
  AdmissionRate::TeamShare team_share;
  if (m_team != nullptr) {
    m_context->team_demand->Add(m_team->key,
                                static_cast<double>(m_parts.size()),
                                m_context->loop->Now());
    team_share = [this](double admitted_share) {
      return m_context->fair_shares->ShareOf(m_team->key, admitted_share);
    };
  }
  for (Part& part : m_parts) {
    if (m_context->limits->any())
      part.service->CountDemand();
    if (!part.service->Admit(Priority(), draw, team_share)) {
      FailPart(part, "not_admitted");
    } else if (part.service->IsAtLimit()) {
      m_context->metrics->CountLimit("rejected");
      FailPart(part, "limited");
    } else if (part.service->PausedUntil()) {
      m_context->metrics->CountPause("rejected");
      FailPart(part, "paused");
    }
  }
  // Sends nothing if too few parts are left for an answer.
  if (m_parts.size() - m_failed >= m_route->required_parts)
    return;
  for (Part& part : m_parts) {
    if (part.state == PartState::kWaiting)
      FailPart(part, "not_sent");
  }
}

void Exchange::StartPart(Part& part) {
  if (SendPart(part, false)) {
    part.service->budget().OnFirstAttempt(m_context->loop->Now());
    return;
  }
  if (IsQuarantined())
    FailPart(part, "quarantined");
  else if (!part.service->MayHaveCapacityLater(part.tried_servers))
    FailPart(part, part.service->IsAtLimit() ? "limited" : "no_server");
}

// Connections to several servers ended under the request and no server has
// answered it.
bool Exchange::MayCrashServers() const {
  return m_losses >= kMinCrashedServers && m_answered == 0;
}

QuarantineStatus Exchange::Quarantine() const {
  return m_context->quarantine->Check(m_fingerprint, m_context->loop->Now());
}

// Callers can't be served before the quarantine ends, which Retry-After says.
void Exchange::RejectQuarantined() {
  const Duration left =
      m_context->quarantine->TimeLeft(m_fingerprint, m_context->loop->Now());
  const int64_t seconds_left =
      std::chrono::ceil<std::chrono::seconds>(left).count();
  m_context->metrics->CountQuarantine("rejected");
  m_context->log->Info("quarantined_request_rejected",
                       {{"request_id", m_request_id},
                        {"fingerprint", ToHex(m_fingerprint)},
                        {"left_ms", left.count() / 1000}});
  m_responder->Respond(
      {.status = kUnavailable,
       .header_lines = m_context->platform->headers.retry_after + ": " +
                       std::to_string(seconds_left) + "\r\n"});
  Finish(kUnavailable, "quarantined");
}

void Exchange::RejectForStop() {
  m_context->metrics->CountDrain("rejected");
  m_responder->Respond(
      {.status = kUnavailable,
       .header_lines = m_context->platform->headers.retry_after + ": " +
                       kDrainRetryAfterSeconds + "\r\n"});
  Finish(kUnavailable, "draining");
}

bool Exchange::SendPart(Part& part, bool repeat, bool hedge) {
  // After a suspension of the process, events are handled before the timer that
  // ends the request. Nothing may be sent for it any more.
  if (m_context->loop->Now() >= m_times.deadline || IsQuarantined())
    return false;
  BackendServer* server = part.service->Pick(part.tried_servers, hedge);
  if (server == nullptr)
    return false;
  ServerRequest request;
  request.listener = this;
  request.part = static_cast<size_t>(&part - m_parts.data());
  request.bytes = RequestBytes(*server);
  if (m_body->size() >= kMinSharedBodyBytes)
    request.shared_body = m_body;
  request.request_id = m_request_id;
  request.fingerprint = m_fingerprint;
  request.head_only = m_head_only;
  request.non_idempotent = !m_route->config.idempotent;
  request.repeat = repeat;
  request.deadline = m_times.deadline;
  request.median_latency = m_median_latency;
  part.sent_at = m_context->loop->Now();
  part.tried_servers.push_back(server);
  part.outstanding.push_back(server->Send(std::move(request)));
  ++part.possible_deliveries;
  part.state = PartState::kInFlight;
  return true;
}

void Exchange::StoreReply(Part& part, MessageParser& reply) {
  if (m_route->scatters()) {
    part.proof =
        std::string(reply.headers().Find(m_context->platform->headers.proof));
    part.body = reply.TakeBody();
    return;
  }
  OutboundResponse response;
  response.status = reply.status();
  response.header_lines = ForwardedLines(reply.headers());
  if (const auto length = reply.headers().Find("Content-Length");
      length.data() != nullptr)
    response.head_content_length = std::string(length);
  response.body = reply.TakeBody();
  m_reply = std::move(response);
}

void Exchange::OnAttemptEnd(Attempt& attempt,
                            AttemptOutcome outcome,
                            MessageParser* reply) {
  Part& part = m_parts[attempt.part];
  std::erase(part.outstanding, &attempt);
  if (m_finished || part.state == PartState::kAnswered ||
      part.state == PartState::kFailed)
    return;
  m_may_have_run = m_may_have_run || !IsProvablyNotRun(outcome);
  m_refusals += outcome == AttemptOutcome::kRefused ? 1 : 0;
  m_losses += outcome == AttemptOutcome::kLost ? 1 : 0;
  if (outcome == AttemptOutcome::kNotSent) {
    --part.possible_deliveries;
    if (attempt.repeat)
      part.service->budget().Refund();
  }
  const bool usable = outcome == AttemptOutcome::kReply &&
                      (!m_route->scatters() || IsSuccess(reply->status()));
  const bool survived =
      outcome == AttemptOutcome::kReply || outcome == AttemptOutcome::kFailure;
  if (usable) {
    m_route->stats->hedge_delay.Observe(m_context->loop->Now() -
                                        attempt.sent_at);
    m_last_server = attempt.server->entry().id.value();
    StoreReply(part, *reply);
    SettlePart(part, PartState::kAnswered);
    m_retry_canary_answered =
        m_retry_canary_answered || part.lost_server != nullptr;
    RetryHeldParts();
  } else if (outcome == AttemptOutcome::kLost && SpansShards()) {
    OnPartLost(part, *attempt.server);
  } else {
    // The 5xx reply is forwarded to the caller if no retry succeeds.
    if (!m_route->scatters() && outcome == AttemptOutcome::kFailure)
      StoreReply(part, *reply);
    if (part.outstanding.empty())
      RetryPart(part, outcome);
  }
  // Bytes of any kind show that the query does not end its servers at once, and
  // refusals that they are overloaded. Only a suspect has to survive.
  const bool heard = m_routine_canaries && outcome != AttemptOutcome::kLost &&
                     outcome != AttemptOutcome::kNotSent;
  if (m_cautious && (survived || heard))
    OnCanaryAnswered();
  if (!m_defer_evaluation)
    Evaluate();
}

bool Exchange::MayRepeat(const Part& part, AttemptOutcome outcome) const {
  if (!m_route->config.idempotent && !IsProvablyNotRun(outcome))
    return false;
  if (!IsProvablyNotRun(outcome) &&
      (Quarantine() != QuarantineStatus::kNone || MayCrashServers()))
    return false;
  return part.possible_deliveries <
         std::max<uint32_t>(m_route->config.max_attempts, 1);
}

bool Exchange::TryRetry(Part& part, AttemptOutcome outcome) {
  // The budget counts attempts after the first that reached the service. An
  // attempt that reached no server is therefore replaced at no charge, unless
  // another attempt of the part may have reached one.
  const bool free =
      outcome == AttemptOutcome::kNotSent && part.possible_deliveries == 0;
  if (!MayRepeat(part, outcome) ||
      (!free && !part.service->budget().TrySpend(m_context->loop->Now())))
    return false;
  if (SendPart(part, !free)) {
    ++m_retries;
    m_context->metrics->CountRepeat(ToString(outcome));
    return true;
  }
  if (!free)
    part.service->budget().Refund();
  return false;
}

void Exchange::RetryPart(Part& part, AttemptOutcome outcome) {
  if (TryRetry(part, outcome))
    return;
  if (outcome == AttemptOutcome::kRefused)
    part.service->OnRejected();
  FailPart(part, ToString(outcome));
}

void Exchange::HedgePart(Part& part) {
  for (Attempt* attempt : part.outstanding)
    attempt->server->ObserveOverdue(attempt);
  // A hedge could end the other replica of the canary's shard.
  if (m_cautious) {
    JoinCanary();
    return;
  }
  // Under overload, a hedge would take capacity from other requests.
  if (part.service->limited())
    return;
  // A query that no server has answered yet may be ending them.
  if (SpansShards() &&
      (m_answered == 0 || ActionAfterLoss(part) != LossAction::kRetry))
    return;
  if (Quarantine() != QuarantineStatus::kNone) {
    part.hedge_done = true;
    return;
  }
  ServiceRetryBudget& budget = part.service->budget();
  if (part.possible_deliveries >= m_route->config.max_attempts) {
    part.hedge_done = true;
    return;
  }
  if (!budget.TrySpend(m_context->loop->Now(),
                       budget.slack() * kRetryReserveShare))
    return;
  if (SendPart(part, true, true)) {
    part.hedge_done = true;
    ++m_hedges;
    m_context->metrics->CountRepeat("hedge");
  } else {
    budget.Refund();
  }
}

void Exchange::FailPart(Part& part, const char* why) {
  part.failure = why;
  SettlePart(part, PartState::kFailed);
}

void Exchange::SettlePart(Part& part, PartState state) {
  part.state = state;
  (state == PartState::kAnswered ? m_answered : m_failed) += 1;
  // The replies of the remaining attempts are read and dropped, so that their
  // connections can be reused.
  for (Attempt* attempt : part.outstanding)
    attempt->server->Abandon(attempt, false);
  part.outstanding.clear();
}

void Exchange::StartWaitingParts() {
  if (m_cautious && HasOpenPart())
    return;
  const bool queue_expired = m_context->loop->Now() >= m_times.queue_deadline;
  for (Part& part : m_parts) {
    if (part.state != PartState::kWaiting)
      continue;
    if (SendPart(part, false)) {
      part.service->budget().OnFirstAttempt(m_context->loop->Now());
      if (m_cautious)
        return;
    } else if (IsQuarantined()) {
      FailPart(part, "quarantined");
    } else if (!part.service->MayHaveCapacityLater(part.tried_servers)) {
      FailPart(part, part.service->IsAtLimit() ? "limited" : "no_server");
    } else if (queue_expired) {
      part.service->OnRejected();
      FailPart(part, "no_capacity");
    }
  }
}

// Sends a part to another server if its connection takes too long to be
// established.
void Exchange::ReplaceSlowConnects(Part& part) {
  const TimePoint now = m_context->loop->Now();
  for (size_t i = part.outstanding.size(); i-- > 0;) {
    Attempt* attempt = part.outstanding[i];
    if (attempt->connection->connected() ||
        now - attempt->sent_at < kConnectFailoverDelay)
      continue;
    part.outstanding.erase(part.outstanding.begin() +
                           static_cast<ptrdiff_t>(i));
    --part.possible_deliveries;
    if (attempt->repeat)
      part.service->budget().Refund();
    attempt->server->AbortConnect(attempt);
    if (part.outstanding.empty())
      RetryPart(part, AttemptOutcome::kNotSent);
  }
}

}  // namespace wasabihook::gateway
