// Queries that may end the servers that run them: canaries, and what follows
// the loss of servers.

#include <algorithm>

#include "gateway/exchange.h"
#include "gateway/request_fingerprint.h"

namespace wasabihook::gateway {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

bool Exchange::NeedsCanary() const {
  if (!SpansShards())
    return false;
  const bool suspect = m_context->quarantine->LastCrash(m_fingerprint) ||
                       m_context->crash_alert->IsActive(m_context->loop->Now());
  return suspect && !HasProvedHarmless(m_parts.front());
}

// Under overload queries are not delayed further.
bool Exchange::AffordsCanaries() const {
  const bool limited =
      std::any_of(m_parts.begin(), m_parts.end(),
                  [](const Part& part) { return part.service->limited(); });
  return SpansShards() && !limited && !HasProvedHarmless(m_parts.front()) &&
         LeavesRoomForCanaries({.objective = m_route->config.objective,
                                .median_latency = m_median_latency});
}

uint32_t Exchange::RoutineCanaries() const {
  return m_context->crash_alert->lost_services(m_context->loop->Now()) > 0
             ? 1
             : kRoutineCanaries;
}

bool Exchange::MustWaitForServers() const {
  if (!SpansShards() || !m_context->quarantine->LastCrash(m_fingerprint))
    return false;
  const auto heard_since =
      m_context->crash_alert->RaisedAt(m_context->loop->Now());
  return std::none_of(m_parts.begin(), m_parts.end(), [&](const Part& part) {
    return HasProvedHarmless(part) ||
           part.service->CanSpareAServer(heard_since);
  });
}

void Exchange::RejectSuspect() {
  m_context->metrics->CountCrashAlert("rejected");
  // Shows which shards have servers to spare, for the next attempt.
  if (const auto since =
          m_context->crash_alert->RaisedAt(m_context->loop->Now())) {
    for (const Part& part : m_parts)
      part.service->ProbeServers(*since);
  }
  m_responder->Respond(
      {.status = kUnavailable, .header_lines = RetryAfterLine()});
  Finish(kUnavailable, "suspect");
}

// The same request was answered by a server of the part's shard since the last
// crash that counts against it.
bool Exchange::HasProvedHarmless(const Part& part) const {
  const RequestQuarantine& quarantine = *m_context->quarantine;
  return quarantine.HasSurvived(
      m_fingerprint, MakeServiceKey(part.service->name().value()),
      quarantine.LastCrash(m_fingerprint).value_or(TimePoint()));
}

LossAction Exchange::ActionAfterLoss(const Part& part) const {
  if (m_retry_canary_answered || HasProvedHarmless(part))
    return LossAction::kRetry;
  const bool canary =
      (m_cautious && !m_routine_canaries) || m_retry_canary_sent;
  return DecideAfterLoss({.answered = canary ? 0 : m_answered,
                          .lost = m_unexplained_losses,
                          .crashed = m_crashes,
                          .canary = canary});
}

double Exchange::RankOfInstance(const Part& part) const {
  constexpr uint32_t kMultiplier = 2'654'435'761;  // Knuth's hash of integers.
  constexpr double kRange = 4'294'967'296.0;
  const uint32_t key =
      MakeServiceKey(part.service->name().value()).value() ^
      MakeServiceKey(m_context->settings->instance.value()).value();
  return static_cast<double>(key * kMultiplier) / kRange;
}

// The shard with the most sound servers can best do without one of them. Among
// equals the choice is random, so that the instances don't choose the same.
void Exchange::StartCanaries(uint32_t count) {
  const bool suspect =
      m_context->quarantine->LastCrash(m_fingerprint).has_value();
  const auto heard_since =
      m_context->crash_alert->RaisedAt(m_context->loop->Now());
  std::vector<std::pair<double, Part*>> order;
  for (Part& part : m_parts) {
    if (part.state == PartState::kWaiting &&
        (!suspect || part.service->CanSpareAServer(heard_since)))
      order.emplace_back(static_cast<double>(part.service->SoundServers()) +
                             (m_routine_canaries ? RankOfInstance(part)
                                                 : m_context->Uniform()),
                         &part);
  }
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (const auto& [rank, part] : order) {
    StartPart(*part);
    if (part->state != PartState::kInFlight)
      continue;
    m_last_canary_at = m_context->loop->Now();
    m_context->metrics->CountCrashAlert(m_routine_canaries ? "routine_canary"
                                                           : "canary");
    if (--count == 0)
      return;
  }
}

void Exchange::JoinCanary() {
  const Duration delay = m_routine_canaries
                             ? RoutineCanaryTimeout(m_route->config.objective)
                             : Duration(kCanaryTimeout);
  if (m_context->loop->Now() - m_last_canary_at >= delay)
    StartCanaries(1);
}

void Exchange::OnCanaryAnswered() {
  m_cautious = false;
  // The parts have not had their time to wait for a server yet.
  const Duration waited = m_context->loop->Now() - m_received_at;
  m_times.queue_deadline =
      std::min(m_times.deadline, m_times.queue_deadline + waited);
  for (Part& part : m_parts) {
    if (part.state == PartState::kWaiting)
      StartPart(part);
  }
}

void Exchange::OnPartLost(Part& part, BackendServer& server) {
  ++m_unexplained_losses;
  part.lost_server = &server;
  part.lost_at = m_context->loop->Now();
  part.crashed = false;
  if (!part.outstanding.empty())
    return;
  if (ActionAfterLoss(part) == LossAction::kRetry)
    RetryPart(part, AttemptOutcome::kLost);
  else
    HoldPart(part);
  StartRetryCanary();
}

bool Exchange::IsResolved(const Part& part) const {
  return part.crashed ||
         m_context->loop->Now() - part.lost_at >= kLossResolutionTime;
}

void Exchange::ResolveLosses() {
  for (Part& part : m_parts) {
    if (part.state != PartState::kHeld || part.crashed)
      continue;
    switch (part.service->StateSince(part.lost_server, part.lost_at)) {
      case ServerAfterLoss::kUnknown:
        break;
      case ServerAfterLoss::kHeard:
        --m_unexplained_losses;
        --m_held;
        RetryPart(part, AttemptOutcome::kLost);
        break;
      case ServerAfterLoss::kEnded:
        part.crashed = true;
        ++m_crashes;
        break;
    }
  }
  const auto held = std::find_if(
      m_parts.begin(), m_parts.end(),
      [](const Part& part) { return part.state == PartState::kHeld; });
  if (held != m_parts.end() && ActionAfterLoss(*held) == LossAction::kContain)
    Contain();
}

bool Exchange::HasOpenPart() const {
  return std::any_of(m_parts.begin(), m_parts.end(), [](const Part& part) {
    return part.state == PartState::kInFlight || part.state == PartState::kHeld;
  });
}

void Exchange::HoldPart(Part& part) {
  part.state = PartState::kHeld;
  ++m_held;
}

void Exchange::StartRetryCanary() {
  if (m_retry_canary_sent || m_answered == 0)
    return;
  const auto held = std::find_if(
      m_parts.begin(), m_parts.end(),
      [](const Part& part) { return part.state == PartState::kHeld; });
  if (held == m_parts.end())
    return;
  m_retry_canary_sent = true;
  --m_held;
  m_context->metrics->CountCrashAlert("retry_canary");
  RetryPart(*held, AttemptOutcome::kLost);
}

void Exchange::RetryHeldParts() {
  if (m_held == 0)
    return;
  if (!m_retry_canary_answered &&
      m_answered < kAnswersPerCrash * m_unexplained_losses) {
    StartRetryCanary();
    return;
  }
  for (Part& part : m_parts) {
    if (part.state != PartState::kHeld)
      continue;
    --m_held;
    RetryPart(part, AttemptOutcome::kLost);
  }
}

// No other part can answer any more, so the losses stay unexplained.
void Exchange::FailHeldParts() {
  const bool open =
      std::any_of(m_parts.begin(), m_parts.end(), [this](const Part& part) {
        return part.state == PartState::kWaiting ||
               part.state == PartState::kInFlight ||
               (part.state == PartState::kHeld && !IsResolved(part));
      });
  if (open)
    return;
  for (Part& part : m_parts) {
    if (part.state != PartState::kHeld)
      continue;
    --m_held;
    FailPart(part, "lost");
  }
}

// Closes the connections: most servers drop a request that they have not begun
// to run when its connection ends.
void Exchange::Contain() {
  m_context->metrics->CountCrashAlert("contained");
  m_context->log->Warning("query_contained",
                          {{"request_id", m_request_id},
                           {"fingerprint", ToHex(m_fingerprint)},
                           {"losses", m_losses},
                           {"canary", m_cautious}});
  m_held = 0;
  m_may_have_run = true;
  // A bystander may be sent again once it is known which shards have servers to
  // spare.
  for (const Part& part : m_parts)
    part.service->ProbeServers(m_context->loop->Now());
  for (Part& part : m_parts) {
    if (part.state == PartState::kAnswered || part.state == PartState::kFailed)
      continue;
    for (Attempt* attempt : part.outstanding)
      attempt->server->Abandon(attempt, true);
    part.outstanding.clear();
    FailPart(part, "contained");
  }
}

}  // namespace wasabihook::gateway
