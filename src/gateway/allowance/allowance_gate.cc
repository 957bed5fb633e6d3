#include "gateway/allowance/allowance_gate.h"

#include <algorithm>

namespace wasabihook::gateway {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

AllowanceDecision AllowanceGate::Decide(const Team& team,
                                        bool owner_reachable,
                                        TimePoint now) {
  if (!team.allowance.limited())
    return AllowanceDecision::kAdmit;
  State& state = m_states[team.key];
  if (!owner_reachable)
    return DecideAlone(team, now);
  if (state.ask_first ||
      state.used + state.unconfirmed >= kMaxUnconfirmedAdmissions)
    return AllowanceDecision::kAsk;
  ++state.used;
  return AllowanceDecision::kAdmit;
}

// An instance that has seen nothing of the team has an equal share.
double AllowanceGate::ShareOf(const State& state) const {
  return std::max(state.share, 1.0 / std::max<uint32_t>(m_instances, 1));
}

// The shares of the instances are mostly parts of one request, so a part is
// admitted with its probability.
AllowanceDecision AllowanceGate::DecideAlone(const Team& team, TimePoint now) {
  State& state = m_states[team.key];
  const double share = ShareOf(state);
  const double capacity = share * kAllowanceFallbackShare *
                          (team.allowance.burst + m_bounds->allowance_slack);
  double tokens = capacity;
  if (state.tokens) {
    const double elapsed =
        static_cast<double>((now - state.filled_at).count()) /
        kMicrosecondsPerSecond;
    tokens = std::min(capacity, *state.tokens + share * team.allowance.rate *
                                                    std::max(elapsed, 0.0));
  }
  const bool admitted = tokens >= 1 || m_uniform() < tokens;
  state.tokens = admitted ? tokens - 1 : tokens;
  state.filled_at = now;
  if (!admitted)
    return AllowanceDecision::kReject;
  ++state.used;
  return AllowanceDecision::kAdmit;
}

void AllowanceGate::Return(const Team& team) {
  if (team.allowance.limited())
    ++m_states[team.key].returned;
}

std::optional<AllowanceClaim> AllowanceGate::TakeClaim(const Team& team,
                                                       ConfigVersion version,
                                                       uint32_t wanted) {
  const auto found = m_states.find(team.key);
  if (found == m_states.end())
    return std::nullopt;
  State& state = found->second;
  if (state.used == 0 && state.returned == 0 && wanted == 0)
    return std::nullopt;
  AllowanceClaim out{.team = team.key,
                     .allowance = team.allowance,
                     .version = version,
                     .used = state.used,
                     .returned = state.returned,
                     .wanted = wanted};
  state.unconfirmed += state.used;
  state.used = 0;
  state.returned = 0;
  return out;
}

void AllowanceGate::OnGrant(const AllowanceClaim& claim,
                            const AllowanceGrant& grant) {
  State& state = m_states[claim.team];
  state.unconfirmed -= std::min(state.unconfirmed, claim.used);
  state.ask_first = grant.ask_first;
  state.share = std::clamp(grant.share, 0.0, 1.0);
  state.wait = grant.wait;
  state.spread = grant.spread;
}

void AllowanceGate::OnClaimLost(const AllowanceClaim& claim) {
  State& state = m_states[claim.team];
  state.unconfirmed -= std::min(state.unconfirmed, claim.used);
  state.used += claim.used;
  state.returned += claim.returned;
}

void AllowanceGate::Sweep() {
  if (m_states.size() <= kMaxTeams)
    return;
  std::erase_if(m_states, [](const auto& entry) {
    const State& state = entry.second;
    return state.used + state.returned + state.unconfirmed == 0;
  });
}

Duration AllowanceGate::RetryAfter(const Team& team) const {
  Duration wait{0};
  Duration spread{0};
  if (const auto found = m_states.find(team.key); found != m_states.end()) {
    wait = found->second.wait;
    spread = found->second.spread;
  }
  const Duration random(static_cast<int64_t>(
      m_uniform() *
      static_cast<double>(std::max(spread, kMinAllowanceSpread).count())));
  return std::max(wait, kMinRetryAfter) + random;
}

bool AllowanceGate::asks_first(TeamKey team) const {
  const auto found = m_states.find(team);
  return found != m_states.end() && found->second.ask_first;
}

}  // namespace wasabihook::gateway
