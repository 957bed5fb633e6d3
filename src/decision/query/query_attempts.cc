// Attempts of one part of a query: first attempts, retries, hedges and waiting
// for capacity.

#include <algorithm>

#include "decision/query/query.h"
#include "decision/routing/retry_budget.h"
#include "wasabihook/config.h"

namespace wasabihook {

void Query::NextAttempt(size_t index, TimePoint now, Actions& actions) {
  QueryPart& part = m_parts[index];
  StopWaiting(part);
  const ShardGroup& group = GroupOf(part);
  std::vector<ServerId> excluded = part.unusable_servers;
  excluded.insert(excluded.end(), part.failed_servers.begin(),
                  part.failed_servers.end());
  if (CoversAllServers(group, excluded)) {
    part.failed_servers.clear();
    excluded = part.unusable_servers;
  }
  // The body may have crashed a server, and become suspect, while this part
  // waited.
  if (part.state != PartState::kUnsent && IsSuspect() &&
      (part.charge_next_attempt ||
       MustSkipSuspect(index, ServerStatusIfSuspect()))) {
    DelaySuspectPart(index, now, actions);
    return;
  }
  RetryBudget& budget = *m_context->deps.retry_budget;
  const TeamId& team = m_input.request.team;
  if (part.charge_next_attempt && !budget.TrySpend(team)) {
    WaitForToken(index, now, actions);
    return;
  }
  const bool first = part.attempts == 0 && !part.charge_next_attempt;
  if (SendAttempt(index, excluded, now, actions) ||
      (!part.failed_servers.empty() &&
       SendAttempt(index, part.unusable_servers, now, actions))) {
    if (first && part.unusable_servers.empty()) {
      budget.OnFirstAttempt(team, m_input.settings->extra_load_budget);
    }
    return;
  }
  if (part.charge_next_attempt) {
    budget.Refund(team);
  }
  WaitForCapacity(index, now);
}

bool Query::SendAttempt(size_t index,
                        const std::vector<ServerId>& excluded,
                        TimePoint now,
                        Actions& actions) {
  QueryPart& part = m_parts[index];
  AttemptPtr attempt = Send(*m_snapshot, GroupOf(part), excluded, now, actions);
  if (!attempt) {
    return false;
  }
  attempt->epoch = m_epoch;
  attempt->part = index;
  m_evidence.OnSent();
  part.outstanding.push_back(std::move(attempt));
  ++part.attempts;
  part.state = PartState::kInFlight;
  part.wake_at.reset();
  part.token_wait_end.reset();
  ScheduleHedge(index, now);
  return true;
}

void Query::ScheduleHedge(size_t index, TimePoint now) {
  QueryPart& part = m_parts[index];
  const TeamSettings& settings = *m_input.settings;
  if (!settings.hedging || m_suspect || part.outstanding.size() != 1 ||
      part.attempts >= settings.max_attempts ||
      GroupOf(part).servers.size() < 2) {
    return;
  }
  const Duration delay = m_context->deps.hedging->DelayFor(
      part.outstanding.front()->group, part.overloaded);
  if (delay < m_input.deadline - now) {
    SetWake(index, now + std::max(delay, config::kMinHedgeDelay));
  }
}

void Query::Hedge(size_t index, TimePoint now, Actions& actions) {
  QueryPart& part = m_parts[index];
  if (part.outstanding.size() != 1 || IsSuspect()) {
    return;
  }
  RetryBudget& budget = *m_context->deps.retry_budget;
  if (!budget.TrySpendForHedge(m_input.request.team)) {
    ScheduleHedge(index, now);
    return;
  }
  std::vector<ServerId> excluded = part.unusable_servers;
  excluded.insert(excluded.end(), part.failed_servers.begin(),
                  part.failed_servers.end());
  excluded.push_back(part.outstanding.front()->server);
  if (!SendAttempt(index, excluded, now, actions)) {
    budget.Refund(m_input.request.team);
    ScheduleHedge(index, now);
  }
}

void Query::WaitForToken(size_t index, TimePoint now, Actions& actions) {
  QueryPart& part = m_parts[index];
  if (!part.token_wait_end) {
    part.token_wait_end = now + config::kRetryTokenWait;
  }
  if (now >= *part.token_wait_end) {
    FailPart(index, now, actions);
    return;
  }
  part.state = PartState::kBackingOff;
  SetWake(index, std::min(now + config::kRetryMaxDelay, *part.token_wait_end));
}

void Query::WaitForCapacity(size_t index, TimePoint now) {
  QueryPart& part = m_parts[index];
  m_saw_overload = true;
  part.overloaded = true;
  part.state = PartState::kNoCapacity;
  part.capacity_ticket = m_context->waiters.Add(GroupOf(part), m_input.handle);
  SetWake(index, now + config::kCapacityRetryDelay);
}

void Query::StopWaiting(QueryPart& part) {
  if (part.capacity_ticket) {
    m_context->waiters.Remove(GroupOf(part), *part.capacity_ticket);
    part.capacity_ticket.reset();
  }
}

}  // namespace wasabihook
