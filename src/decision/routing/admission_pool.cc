#include "decision/routing/admission_pool.h"

#include <algorithm>
#include <utility>

namespace wasabihook {
namespace {

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

uint32_t AdmissionPool::limit() const {
  return static_cast<uint32_t>(std::max(1.0, m_limit));
}

AdmissionPool::Team& AdmissionPool::Activate(const AdmissionRequest& request,
                                             TimePoint now) {
  auto [it, added] = m_teams.try_emplace(request.team);
  Team& team = it->second;
  team.weight = std::max<uint32_t>(request.weight, 1);
  if (team.running == 0 && team.queue.empty()) {
    // A team that was idle starts level with the others and cannot save up.
    team.virtual_time = std::max(team.virtual_time, m_virtual_time);
  }
  if (team.queue.empty()) {
    team.last_short_wait = now;
  }
  return team;
}

std::optional<AdmissionPool::Queued> AdmissionPool::Request(
    AdmissionRequest request,
    AdmissionController::Callback done,
    TimePoint now,
    AdmissionDecisions* decisions) {
  Team& team = Activate(request, now);
  const Duration left = request.deadline - now;
  const Duration service = m_service.estimate();
  if (left <= Duration(0) || left < service) {
    if (m_running == 0) {
      m_service.Relax();
    }
    decisions->push_back({std::move(done), AdmissionResult::kDeadlineTooShort});
    return std::nullopt;
  }
  if (m_running < limit()) {
    Start(team);
    decisions->push_back({std::move(done), AdmissionResult::kAdmitted});
    return std::nullopt;
  }
  const Duration wait = EstimatedWait(team, now);
  if (wait + service > left) {
    decisions->push_back({std::move(done), AdmissionResult::kDeadlineTooShort});
    return std::nullopt;
  }
  const bool standing = IsStanding(team, now);
  const Duration max_wait =
      standing ? config::kQueueTarget : config::kQueueInterval;
  if (wait > max_wait) {
    team.last_wait_refusal = now;
    decisions->push_back({std::move(done), AdmissionResult::kQueueFull});
    return std::nullopt;
  }
  if (team.queue.size() >= request.max_queued) {
    if (request.max_queued == 0 || !standing) {
      decisions->push_back({std::move(done), AdmissionResult::kQueueFull});
      return std::nullopt;
    }
    // The newest is served first, so the oldest would expire in the queue.
    decisions->push_back(
        {std::move(team.queue.front().done), AdmissionResult::kQueueFull});
    team.queue.pop_front();
  }
  const uint64_t ticket = m_next_ticket++;
  const TimePoint latest_start = request.deadline - service;
  const TimePoint latest_wait = now + max_wait;
  const AdmissionResult refusal = latest_start <= latest_wait
                                      ? AdmissionResult::kDeadlineTooShort
                                      : AdmissionResult::kQueueFull;
  team.queue.push_back(
      {ticket, now, request.deadline, refusal, std::move(done)});
  return Queued{ticket, std::min(latest_start, latest_wait)};
}

Duration AdmissionPool::EstimatedWait(const Team& team, TimePoint now) const {
  double active_weight = 0;
  for (const auto& [id, other] : m_teams) {
    if (!other.queue.empty() || &other == &team) {
      active_weight += other.weight;
    }
  }
  const double ahead =
      IsStanding(team, now) ? 0 : static_cast<double>(team.queue.size());
  const double share = limit() * team.weight / active_weight;
  // The first in the queue waits about half the time between two releases.
  return Duration(static_cast<int64_t>((ahead + 0.5) / share *
                                       Micros(m_service.estimate())));
}

bool AdmissionPool::IsStanding(const Team& team, TimePoint now) const {
  if (team.last_wait_refusal &&
      now - *team.last_wait_refusal <= config::kQueueInterval) {
    return true;
  }
  return !team.queue.empty() &&
         now - team.last_short_wait > config::kQueueInterval;
}

void AdmissionPool::Start(Team& team) {
  m_virtual_time = std::max(m_virtual_time, team.virtual_time);
  // At least 1 us, so that teams alternate before a service time is known.
  const double charge = std::max(1.0, Micros(m_service.mean()));
  team.charged += charge;
  team.virtual_time += charge / team.weight;
  ++team.running;
  ++m_running;
}

void AdmissionPool::Settle(Team& team, Duration latency) {
  const double charge = team.charged / team.running;
  team.charged -= charge;
  team.virtual_time += (Micros(latency) - charge) / team.weight;
  --team.running;
  --m_running;
}

void AdmissionPool::Release(const TeamId& id,
                            Duration latency,
                            bool overloaded,
                            TimePoint now,
                            AdmissionDecisions* decisions) {
  auto it = m_teams.find(id);
  if (it == m_teams.end() || it->second.running == 0) {
    return;
  }
  Adapt(latency, overloaded, now);
  Settle(it->second, latency);
  Dispatch(now, decisions);
}

void AdmissionPool::Adapt(Duration latency, bool overloaded, TimePoint now) {
  if (!overloaded) {
    m_service.Observe(latency);
  }
  const bool limited = m_running >= limit();
  if (overloaded || (limited && m_service.IsInflated())) {
    // One decrease for each round of requests.
    if (now - m_last_decrease >= m_service.mean()) {
      m_limit = std::max(1.0, m_limit * config::kAdmissionDecrease);
      m_last_decrease = now;
    }
  } else if (limited) {
    m_limit = std::min(m_capacity, m_limit + 1 / m_limit);
  }
}

void AdmissionPool::SetCapacity(uint32_t requests,
                                TimePoint now,
                                AdmissionDecisions* decisions) {
  const double capacity = std::max<uint32_t>(requests, 1);
  // Keeps the learned share of the capacity.
  m_limit = std::clamp(m_limit * capacity / m_capacity, 1.0, capacity);
  m_capacity = capacity;
  Dispatch(now, decisions);
}

AdmissionPool::Team* AdmissionPool::NextTeam() {
  Team* next = nullptr;
  for (auto& [id, team] : m_teams) {
    if (!team.queue.empty() &&
        (next == nullptr || team.virtual_time < next->virtual_time)) {
      next = &team;
    }
  }
  return next;
}

AdmissionPool::Waiting AdmissionPool::Pop(Team& team, TimePoint now) {
  if (now - team.queue.front().since < config::kQueueTarget) {
    team.last_short_wait = now;
  }
  const bool newest_first = IsStanding(team, now);
  auto it = newest_first ? std::prev(team.queue.end()) : team.queue.begin();
  Waiting waiting = std::move(*it);
  team.queue.erase(it);
  return waiting;
}

void AdmissionPool::Dispatch(TimePoint now, AdmissionDecisions* decisions) {
  while (m_running < limit()) {
    Team* team = NextTeam();
    if (team == nullptr) {
      return;
    }
    Waiting waiting = Pop(*team, now);
    AdmissionResult result = AdmissionResult::kDeadlineTooShort;
    if (waiting.deadline - now >= m_service.estimate() &&
        waiting.deadline > now) {
      Start(*team);
      result = AdmissionResult::kAdmitted;
    }
    decisions->push_back({std::move(waiting.done), result});
  }
}

void AdmissionPool::Expire(const TeamId& id,
                           uint64_t ticket,
                           TimePoint now,
                           AdmissionDecisions* decisions) {
  auto it = m_teams.find(id);
  if (it == m_teams.end()) {
    return;
  }
  Team& team = it->second;
  std::deque<Waiting>& queue = team.queue;
  auto waiting = std::find_if(
      queue.begin(), queue.end(),
      [ticket](const Waiting& entry) { return entry.ticket == ticket; });
  if (waiting == queue.end()) {
    return;
  }
  if (waiting->refusal == AdmissionResult::kQueueFull) {
    team.last_wait_refusal = now;
  }
  decisions->push_back({std::move(waiting->done), waiting->refusal});
  queue.erase(waiting);
}

}  // namespace wasabihook
