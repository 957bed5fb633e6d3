#include "gateway/exchange.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

#include "gateway/drain_admission.h"
#include "gateway/merged_answer.h"
#include "gateway/request_fingerprint.h"
#include "gateway/server_pause.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// Missing parts that the log line of a request names; its counts cover all.
constexpr size_t kMaxLoggedMissingParts = 6;

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 0)
    return std::nullopt;
  return value;
}

Duration Scale(Duration value, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(value.count()) * factor));
}

}  // namespace

Exchange::Exchange(GatewayContext* context,
                   RoutePtr route,
                   TeamPtr team,
                   InboundRequest request,
                   Responder* responder,
                   std::function<void(Exchange*)> done)
    : m_context(context),
      m_route(std::move(route)),
      m_team(std::move(team)),
      m_responder(responder),
      m_done(std::move(done)),
      m_request_id(
          request.headers->Find(context->platform->headers.request_id)),
      m_fingerprint(FingerprintOf(request.method,
                                  request.headers->Find("Host"),
                                  request.target,
                                  request.body)),
      m_head_only(request.method == "HEAD"),
      m_received_at(request.received_at) {
  InitDeadlines(request);
  BuildHead(request);
  m_body = std::make_shared<const std::string>(std::move(request.body));
  m_hedge_delay =
      m_route->stats->hedge_delay.DelayFor(m_route->config.objective);
  m_median_latency = m_route->stats->hedge_delay.median_latency();
  m_responder->SetDisconnectHook([this] { OnCallerDisconnect(); });
}

Exchange::~Exchange() {
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
}

void Exchange::InitDeadlines(const InboundRequest& request) {
  const auto stated =
      ParseNumber(request.headers->Find(m_context->platform->headers.deadline));
  std::optional<Duration> caller_timeout;
  if (stated) {
    constexpr int64_t kMaxMillis =
        std::chrono::duration_cast<std::chrono::milliseconds>(kMaxCallerTimeout)
            .count();
    caller_timeout = std::chrono::milliseconds(std::min(*stated, kMaxMillis));
    m_route->stats->max_caller_timeout =
        std::max(m_route->stats->max_caller_timeout, *caller_timeout);
  }
  m_times = ComputeRequestTimes(
      {.received_at = m_received_at,
       .objective = m_route->config.objective,
       .timeout = m_route->config.timeout,
       .caller_timeout = caller_timeout,
       .max_caller_timeout = m_route->stats->max_caller_timeout,
       .first_on_connection = request.first_on_connection,
       .answer_margin = m_context->answer_margin->For(
           request.round_trip, m_route->config.objective),
       .round_trip = request.round_trip});
  m_round_trip = request.round_trip;
  if (m_context->answer_by) {
    m_fits_before_stop = FitsBeforeStop(m_times, m_route->config.idempotent,
                                        *m_context->answer_by);
    m_times.deadline = std::min(m_times.deadline, *m_context->answer_by);
    m_times.queue_deadline = std::min(m_times.queue_deadline, m_times.deadline);
  }
}

void Exchange::EndBy(TimePoint answer_by) {
  if (m_finished || m_times.deadline <= answer_by)
    return;
  m_times.deadline = answer_by;
  m_times.queue_deadline = std::min(m_times.queue_deadline, answer_by);
  ArmTimer();
}

bool Exchange::IsOwnField(std::string_view name) const {
  const HeaderNames& names = m_context->platform->headers;
  if (EqualsIgnoreCase(name, "Content-Length") ||
      EqualsIgnoreCase(name, "Expect") ||
      EqualsIgnoreCase(name, names.deadline) ||
      EqualsIgnoreCase(name, names.target_server))
    return true;
  // Servers must be able to trust the field that names the team, and no server
  // may learn the key of a caller.
  return m_route->requires_keys && (EqualsIgnoreCase(name, names.api_key) ||
                                    EqualsIgnoreCase(name, names.team));
}

uint32_t Exchange::Priority() const {
  return m_team != nullptr && m_team->priority ? *m_team->priority
                                               : m_route->config.priority;
}

// Builds the request head without the deadline and target server fields, which
// differ between attempts.
void Exchange::BuildHead(const InboundRequest& request) {
  const HeaderNames& names = m_context->platform->headers;
  m_head = request.method + " " + request.target + " HTTP/1.1\r\n";
  const HeaderList& headers = *request.headers;
  const HopByHopFields hop_by_hop(headers.Find("Connection"));
  for (size_t i = 0; i < headers.size(); ++i) {
    const HeaderList::Field field = headers.at(i);
    if (hop_by_hop.Contains(field.name) || IsOwnField(field.name))
      continue;
    m_head.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  if (m_team != nullptr)
    m_head.append(names.team)
        .append(": ")
        .append(m_team->id.value())
        .append("\r\n");
  if (!request.body.empty() || headers.Has("Content-Length") ||
      headers.Has("Transfer-Encoding"))
    m_head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
}

std::string Exchange::RequestBytes(const BackendServer& server) const {
  const HeaderNames& names = m_context->platform->headers;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_times.deadline - m_context->loop->Now());
  std::string out;
  const bool shares_body = m_body->size() >= kMinSharedBodyBytes;
  out.reserve(m_head.size() + (shares_body ? 0 : m_body->size()) + 128);
  out += m_head;
  out += names.deadline;
  out += ": ";
  out += std::to_string(std::max<int64_t>(left.count(), 1));
  out += "\r\n";
  out += names.target_server;
  out += ": ";
  out += server.entry().id.value();
  out += "\r\n\r\n";
  if (!shares_body)
    out += *m_body;
  return out;
}

void Exchange::OnTimer() {
  m_timer.reset();
  const TimePoint now = m_context->loop->Now();
  m_answer_due = !m_objective_passed && now >= m_times.objective_at;
  m_objective_passed = m_objective_passed || m_answer_due;
  m_deadline_passed = m_deadline_passed || now >= m_times.deadline;
  if (!m_deadline_passed) {
    m_defer_evaluation = true;
    StartWaitingParts();
    if (m_held > 0)
      ResolveLosses();
    for (Part& part : m_parts)
      ReplaceSlowConnects(part);
    for (Part& part : m_parts) {
      if (part.state == PartState::kInFlight && !part.hedge_done &&
          m_route->config.idempotent && now - part.sent_at >= m_hedge_delay)
        HedgePart(part);
    }
    m_defer_evaluation = false;
  }
  Evaluate();
  m_answer_due = false;
}

TimePoint Exchange::NextTimerAt() const {
  const TimePoint now = m_context->loop->Now();
  TimePoint wake = m_times.deadline;
  if (!m_objective_passed && m_route->scatters())
    wake = std::min(wake, m_times.objective_at);
  if (m_held > 0)
    wake = std::min(wake, now + kPartRecheckInterval);
  const bool waits_for_canary = m_cautious && HasOpenPart();
  for (const Part& part : m_parts) {
    if (part.state == PartState::kWaiting && !waits_for_canary)
      wake = std::min(wake, now + kPartRecheckInterval);
    for (const Attempt* attempt : part.outstanding) {
      if (!attempt->connection->connected())
        wake = std::min(wake, attempt->sent_at + kConnectFailoverDelay);
    }
    if (part.state != PartState::kInFlight || part.hedge_done ||
        !m_route->config.idempotent)
      continue;
    const TimePoint due = part.sent_at + m_hedge_delay;
    wake = std::min(wake, due > now ? due : now + kPartRecheckInterval);
  }
  return wake;
}

void Exchange::ArmTimer() {
  const TimePoint wake = NextTimerAt();
  if (m_timer && m_timer_at <= wake)
    return;
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
  m_timer_at = wake;
  m_timer = m_context->loop->SubscribeOnce(wake - m_context->loop->Now(),
                                           [this] { OnTimer(); });
}

void Exchange::Evaluate() {
  if (m_finished)
    return;
  if (m_held > 0)
    FailHeldParts();
  const auto total = static_cast<uint32_t>(m_parts.size());
  const AnswerDecision decision =
      DecideAnswer({.total = total,
                    .required = m_route->required_parts,
                    .answered = m_answered,
                    .failed = m_failed,
                    .objective_passed = m_objective_passed,
                    .deadline_passed = m_deadline_passed});
  switch (decision) {
    case AnswerDecision::kWait:
      ArmTimer();
      break;
    case AnswerDecision::kAnswer:
      Answer();
      break;
    case AnswerDecision::kFail:
      Fail();
      break;
  }
}

void Exchange::Answer() {
  if (m_route->scatters()) {
    AnswerMerged();
    return;
  }
  const int status = m_reply->status;
  m_responder->Respond(std::move(*m_reply));
  Finish(status, "answered");
}

void Exchange::AnswerMerged() {
  std::vector<PartReply> replies;
  for (Part& part : m_parts) {
    if (part.state == PartState::kAnswered)
      replies.push_back({.service = part.service->name(),
                         .proof = std::move(part.proof),
                         .body = std::move(part.body)});
  }
  MergedAnswer answer =
      MergeReplies(std::move(replies), m_parts.size(), m_request_id,
                   m_route->config.top_records, m_context->platform->headers);
  for (const ServiceName& service : answer.duplicates) {
    m_context->log->Warning("duplicate_proof", {{"request_id", m_request_id},
                                                {"service", service.value()}});
  }
  m_responder->Respond(std::move(answer.response));
  if (m_answer_due) {
    m_context->loop->UpdateTime();
    m_context->answer_margin->OnSent(m_context->loop->Now() -
                                     m_times.objective_at);
  }
  m_context->metrics->CountParts(answer.merged, m_parts.size() - answer.merged);
  Finish(kOk, m_objective_passed ? "objective" : "complete");
}

// Empty unless the request lacks parts only since their servers want no
// requests for some time.
std::optional<Duration> Exchange::TimeUntilPausesEnd() const {
  std::vector<TimePoint> ends;
  for (const Part& part : m_parts) {
    if (part.state != PartState::kFailed)
      continue;
    if (const auto end = part.service->PausedUntil())
      ends.push_back(*end);
  }
  const size_t left = m_parts.size() - m_failed;
  const size_t missing =
      left < m_route->required_parts ? m_route->required_parts - left : 0;
  return TimeUntilServable(std::move(ends), missing, m_context->loop->Now());
}

std::string Exchange::RetryAfterLine() const {
  const Duration left = m_times.deadline - m_context->loop->Now();
  const Duration most =
      std::clamp(Scale(left, kRetryAfterShare), kMinRetryAfter, kMaxRetryAfter);
  const Duration delay = TimeUntilPausesEnd().value_or(Duration(0)) +
                         kMinRetryAfter +
                         Scale(most - kMinRetryAfter, m_context->Uniform());
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                static_cast<double>(delay.count()) / 1e6);
  return m_context->platform->headers.retry_after + ": " + text + "\r\n";
}

bool Exchange::MayHaveRun() const {
  const auto started = [](const Part& part) {
    return std::any_of(part.outstanding.begin(), part.outstanding.end(),
                       [](const Attempt* attempt) {
                         return attempt->connection->request_started();
                       });
  };
  return m_may_have_run || std::any_of(m_parts.begin(), m_parts.end(), started);
}

// Answers 503 only if no server can have run the request, since callers take a
// 503 as proof that it was not run.
void Exchange::Fail() {
  m_may_have_run = MayHaveRun();
  if (m_reply) {
    const int status = m_reply->status;
    m_responder->Respond(std::move(*m_reply));
    Finish(status, "server_failure");
    return;
  }
  OutboundResponse response;
  if (!m_may_have_run) {
    response.status = kUnavailable;
    response.header_lines = RetryAfterLine();
  } else {
    response.status = m_deadline_passed ? kGatewayTimeout : kBadGateway;
  }
  const int status = response.status;
  m_responder->Respond(std::move(response));
  Finish(status, m_deadline_passed ? "deadline" : "no_server");
}

void Exchange::OnCallerDisconnect() {
  m_responder = nullptr;
  if (!m_finished)
    Finish(0, "caller_gone");
}

void Exchange::AbandonAll() {
  for (Part& part : m_parts) {
    for (Attempt* attempt : part.outstanding) {
      // An unsent request must not run after the answer, so it is dropped. A
      // request that must not be repeated is not cancelled once it was sent.
      const bool unsent = !attempt->connection->request_started();
      if (m_route->config.idempotent || unsent)
        attempt->server->Abandon(attempt, unsent);
      else
        attempt->server->Detach(attempt);
    }
    part.outstanding.clear();
  }
}

void Exchange::Finish(int status, const char* why) {
  m_finished = true;
  m_may_have_run = MayHaveRun();
  AbandonAll();
  if (m_timer)
    m_context->loop->Unsubscribe(*m_timer);
  m_timer.reset();
  m_context->metrics->CountRequest(m_route->config.name.value(), status,
                                   m_context->loop->Now() - m_received_at);
  LogEnd(status, why);
  m_done(this);
}

// Services without a reply and the reasons, for the log.
std::string Exchange::MissingParts() const {
  std::string out;
  size_t count = 0;
  for (const Part& part : m_parts) {
    if (part.state == PartState::kAnswered)
      continue;
    if (++count > kMaxLoggedMissingParts)
      break;
    out += (out.empty() ? "" : " ") + part.service->name().value() + ":" +
           (part.failure != nullptr ? part.failure : "pending");
  }
  return out;
}

void Exchange::LogEnd(int status, const char* why) const {
  m_context->log->Info(
      "request",
      {{"request_id", m_request_id},
       {"route", m_route->config.name.value()},
       {"version", m_route->version.value()},
       {"status", status},
       {"why", why},
       {"ms",
        static_cast<double>((m_context->loop->Now() - m_received_at).count()) /
            1000.0},
       {"team", m_team != nullptr ? m_team->id.value() : ""},
       {"rtt_us", m_round_trip.value_or(Duration(-1)).count()},
       {"late_us", m_context->answer_margin->lateness().count()},
       {"left_ms", (m_times.deadline - m_context->loop->Now()).count() / 1000},
       {"parts", m_parts.size()},
       {"answered", m_answered},
       {"failed", m_failed},
       {"missing", MissingParts()},
       {"hedges", m_hedges},
       {"retries", m_retries},
       {"refusals", m_refusals},
       {"losses", m_losses},
       {"last_server", m_last_server}});
}

}  // namespace wasabihook::gateway
