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

AdmissionPool::Team& AdmissionPool::ActivateTeam(
    const AdmissionRequest& request,
    TimePoint now) {
  auto [it, added] = m_teams.try_emplace(request.team);
  Team& team = it->second;
  team.weight = std::max<uint32_t>(request.weight, 1);
  if (team.running == 0 && team.queue.empty()) {
    // An idle team accumulates no credit: it resumes at the pool's virtual
    // time.
    team.virtual_time = std::max(team.virtual_time, m_virtual_time);
  }
  if (team.queue.empty()) {
    team.last_wait_below_target = now;
  }
  return team;
}

std::optional<AdmissionPool::QueueEntry> AdmissionPool::Request(
    AdmissionRequest request,
    AdmissionController::Callback done,
    TimePoint now,
    AdmissionDecisions* decisions) {
  Team& team = ActivateTeam(request, now);
  const Duration left = request.deadline - now;
  const Duration service = m_service.estimate();
  if (left <= Duration(0) || left < service) {
    if (m_running == 0) {
      m_service.LowerEstimate();
    }
    decisions->push_back({std::move(done), AdmissionResult::kDeadlineTooShort});
    return std::nullopt;
  }
  if (m_running < limit()) {
    StartRequest(team);
    decisions->push_back({std::move(done), AdmissionResult::kAdmitted});
    return std::nullopt;
  }
  const Duration wait = EstimatedWait(team, now);
  if (wait + service > left) {
    decisions->push_back({std::move(done), AdmissionResult::kDeadlineTooShort});
    return std::nullopt;
  }
  const bool standing = HasStandingQueue(team, now);
  const Duration max_wait =
      standing ? config::kQueueDelayTarget : config::kQueueDelayInterval;
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
    // A standing queue serves the newest request first, so the oldest one would
    // expire anyway.
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
  return QueueEntry{ticket, std::min(latest_start, latest_wait)};
}

Duration AdmissionPool::EstimatedWait(const Team& team, TimePoint now) const {
  double active_weight = 0;
  for (const auto& [id, other] : m_teams) {
    if (!other.queue.empty() || &other == &team) {
      active_weight += other.weight;
    }
  }
  const double ahead =
      HasStandingQueue(team, now) ? 0 : static_cast<double>(team.queue.size());
  const double share = limit() * team.weight / active_weight;
  // The request at the head of the queue waits for half the interval between
  // two releases on average.
  return Duration(static_cast<int64_t>((ahead + 0.5) / share *
                                       Micros(m_service.estimate())));
}

bool AdmissionPool::HasStandingQueue(const Team& team, TimePoint now) const {
  if (team.last_wait_refusal &&
      now - *team.last_wait_refusal <= config::kQueueDelayInterval) {
    return true;
  }
  return !team.queue.empty() &&
         now - team.last_wait_below_target > config::kQueueDelayInterval;
}

void AdmissionPool::StartRequest(Team& team) {
  m_virtual_time = std::max(m_virtual_time, team.virtual_time);
  // At least 1 us, so that teams alternate before a service time has been
  // observed.
  const double charge = std::max(1.0, Micros(m_service.mean()));
  team.charge_in_advance += charge;
  team.virtual_time += charge / team.weight;
  ++team.running;
  ++m_running;
}

void AdmissionPool::FinishRequest(Team& team, Duration latency) {
  const double charge = team.charge_in_advance / team.running;
  team.charge_in_advance -= charge;
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
  AdaptLimit(latency, overloaded, now);
  FinishRequest(it->second, latency);
  Dispatch(now, decisions);
}

void AdmissionPool::AdaptLimit(Duration latency,
                               bool overloaded,
                               TimePoint now) {
  if (!overloaded) {
    m_service.Observe(latency);
  }
  const bool limited = m_running >= limit();
  if (overloaded || (limited && m_service.IsInflated())) {
    // At most one decrease per mean service time.
    if (now - m_last_decrease >= m_service.mean()) {
      m_limit = std::max(1.0, m_limit * config::kAdmissionDecreaseFactor);
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
  // Keeps the ratio of the adapted limit to the capacity.
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

AdmissionPool::QueuedRequest AdmissionPool::PopRequest(Team& team,
                                                       TimePoint now) {
  if (now - team.queue.front().queued_at < config::kQueueDelayTarget) {
    team.last_wait_below_target = now;
  }
  const bool newest_first = HasStandingQueue(team, now);
  auto it = newest_first ? std::prev(team.queue.end()) : team.queue.begin();
  QueuedRequest queued = std::move(*it);
  team.queue.erase(it);
  return queued;
}

void AdmissionPool::Dispatch(TimePoint now, AdmissionDecisions* decisions) {
  while (m_running < limit()) {
    Team* team = NextTeam();
    if (team == nullptr) {
      return;
    }
    QueuedRequest queued = PopRequest(*team, now);
    AdmissionResult result = AdmissionResult::kDeadlineTooShort;
    if (queued.deadline - now >= m_service.estimate() &&
        queued.deadline > now) {
      StartRequest(*team);
      result = AdmissionResult::kAdmitted;
    }
    decisions->push_back({std::move(queued.done), result});
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
  std::deque<QueuedRequest>& queue = team.queue;
  auto queued = std::find_if(
      queue.begin(), queue.end(),
      [ticket](const QueuedRequest& entry) { return entry.ticket == ticket; });
  if (queued == queue.end()) {
    return;
  }
  if (queued->refusal == AdmissionResult::kQueueFull) {
    team.last_wait_refusal = now;
  }
  decisions->push_back({std::move(queued->done), queued->refusal});
  queue.erase(queued);
}

}  // namespace wasabihook
