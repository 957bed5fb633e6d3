// The parts of an exchange: admission, sends, retries and hedges.

#include <algorithm>
#include <utility>

#include "gateway/exchange.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
// Part of a service's budget that hedges leave for retries.
constexpr double kRetryReserveShare = 0.15;

bool IsSuccess(int status) {
  return status >= kOk && status < kFirstRedirect;
}

// Fields of a reply that the caller gets.
std::string ForwardedLines(const HeaderList& headers) {
  std::string out;
  const std::string_view connection = headers.Find("Connection");
  for (size_t i = 0; i < headers.size(); ++i) {
    const HeaderList::Field field = headers.at(i);
    if (IsHopByHop(field.name, connection) ||
        EqualsIgnoreCase(field.name, "Content-Length"))
      continue;
    out.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  return out;
}

}  // namespace

void Exchange::Start() {
  if (m_route->scatters()) {
    m_parts.resize(m_route->services.size());
    for (size_t i = 0; i < m_parts.size(); ++i)
      m_parts[i].service = m_route->services[i].get();
  } else {
    m_parts.resize(1);
    m_parts[0].service = m_route->services[m_route->stats->choice.Next()].get();
  }
  AdmitParts();
  m_starting = true;
  for (Part& part : m_parts) {
    if (part.state == PartState::kWaiting)
      StartPart(part);
  }
  m_starting = false;
  Evaluate();
}

// One draw for all parts: the requests that a busy shard cannot take are the
// same ones at each shard.
void Exchange::AdmitParts() {
  const double draw = m_context->Uniform();
  for (Part& part : m_parts) {
    if (part.service->Admit(m_route->config.priority, draw))
      continue;
    FailPart(part, "not_admitted");
  }
  // Nothing is sent for an answer that cannot come about.
  if (m_parts.size() - m_failed >= m_route->needed_parts)
    return;
  for (Part& part : m_parts) {
    if (part.state == PartState::kWaiting)
      FailPart(part, "not_sent");
  }
}

void Exchange::StartPart(Part& part) {
  if (SendPart(part, false)) {
    part.service->budget().OnFirstSend(m_context->loop->Now());
    return;
  }
  if (!part.service->MayRecover(part.tried))
    FailPart(part, "no_server");
}

bool Exchange::SendPart(Part& part, bool repeat) {
  BackendServer* server = part.service->Pick(part.tried);
  if (server == nullptr)
    return false;
  ServerRequest request;
  request.listener = this;
  request.part = static_cast<size_t>(&part - m_parts.data());
  request.bytes = RequestBytes(*server);
  request.request_id = m_request_id;
  request.head_only = m_head_only;
  request.once = !m_route->config.idempotent;
  request.repeat = repeat;
  request.usual = m_usual;
  part.sent_at = m_context->loop->Now();
  part.tried.push_back(server);
  part.live.push_back(server->Send(std::move(request)));
  ++part.arrivals;
  part.state = PartState::kAsked;
  return true;
}

void Exchange::TakeReply(Part& part, MessageParser& reply) {
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
  std::erase(part.live, &attempt);
  if (m_finished || part.state == PartState::kAnswered ||
      part.state == PartState::kFailed)
    return;
  m_may_have_run = m_may_have_run || !IsProvablyNotRun(outcome);
  m_refusals += outcome == AttemptOutcome::kRefused ? 1 : 0;
  m_losses += outcome == AttemptOutcome::kLost ? 1 : 0;
  if (outcome == AttemptOutcome::kNotSent) {
    --part.arrivals;
    if (attempt.repeat)
      part.service->budget().Refund();
  }
  const bool usable = outcome == AttemptOutcome::kReply &&
                      (!m_route->scatters() || IsSuccess(reply->status()));
  if (usable) {
    m_route->stats->hedge.Observe(m_context->loop->Now() - attempt.sent_at);
    m_slow_server = attempt.server->entry().id.value();
    TakeReply(part, *reply);
    SettlePart(part, PartState::kAnswered);
  } else {
    // A failure of the server itself is passed on if nothing better comes.
    if (!m_route->scatters() && outcome == AttemptOutcome::kFailure)
      TakeReply(part, *reply);
    if (part.live.empty())
      RetryPart(part, outcome);
  }
  if (!m_starting)
    Evaluate();
}

bool Exchange::MayRepeat(const Part& part, AttemptOutcome outcome) const {
  if (!m_route->config.idempotent && !IsProvablyNotRun(outcome))
    return false;
  return part.arrivals < std::max<uint32_t>(m_route->config.max_attempts, 1);
}

bool Exchange::TryRetry(Part& part, AttemptOutcome outcome) {
  // Only the first arrival at a service is no repeat: an attempt that reached
  // no server is replaced for free unless another one did before.
  const bool free = outcome == AttemptOutcome::kNotSent && part.arrivals == 0;
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
  // A hedge takes capacity from requests that could be answered.
  if (part.service->limited())
    return;
  RepeatBudget& budget = part.service->budget();
  if (part.arrivals >= m_route->config.max_attempts) {
    part.hedge_done = true;
    return;
  }
  if (!budget.TrySpend(m_context->loop->Now(),
                       budget.slack() * kRetryReserveShare))
    return;
  if (SendPart(part, true)) {
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
  // The reply of a loser is read and dropped, so that its connection lives on.
  for (Attempt* attempt : part.live)
    attempt->server->Abandon(attempt, false);
  part.live.clear();
}

void Exchange::RecheckWaiting() {
  const bool over = m_context->loop->Now() >= m_times.queue_end;
  for (Part& part : m_parts) {
    if (part.state != PartState::kWaiting)
      continue;
    if (SendPart(part, false)) {
      part.service->budget().OnFirstSend(m_context->loop->Now());
    } else if (!part.service->MayRecover(part.tried)) {
      FailPart(part, "no_server");
    } else if (over) {
      part.service->OnRejected();
      FailPart(part, "no_capacity");
    }
  }
}

// Moves a part whose connection does not come about to another server.
void Exchange::ReplaceConnecting(Part& part) {
  const TimePoint now = m_context->loop->Now();
  for (size_t i = part.live.size(); i-- > 0;) {
    Attempt* attempt = part.live[i];
    if (attempt->connection->connected() ||
        now - attempt->sent_at < kConnectPatience)
      continue;
    part.live.erase(part.live.begin() + static_cast<ptrdiff_t>(i));
    --part.arrivals;
    if (attempt->repeat)
      part.service->budget().Refund();
    attempt->server->GiveUpConnecting(attempt);
    if (part.live.empty())
      RetryPart(part, AttemptOutcome::kNotSent);
  }
}

}  // namespace wasabihook::gateway
