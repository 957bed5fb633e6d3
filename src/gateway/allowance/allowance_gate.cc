#include "gateway/allowance/allowance_gate.h"

#include <algorithm>

#include "gateway/allowance/allowance_tolerance.h"

namespace wasabihook::gateway {
AllowanceDecision AllowanceGate::Decide(const Team& team) {
  if (!team.allowance.limited())
    return AllowanceDecision::kAdmit;
  State& state = m_states[team.key];
  if (state.ask_first ||
      state.used + state.unconfirmed >= kMaxUnconfirmedAdmissions)
    return AllowanceDecision::kAsk;
  ++state.used;
  return AllowanceDecision::kAdmit;
}

// The parts of the instances are mostly parts of one request, so a part is
// admitted with its probability.
bool AllowanceGate::AdmitAlone(const Team& team, TimePoint now) {
  State& state = m_states[team.key];
  const double capacity = kAllowanceAloneShare *
                          AllowanceTolerance(team.allowance, *m_bounds) /
                          std::max<uint32_t>(m_instances, 1);
  double tokens = capacity;
  if (state.tokens) {
    const double windows =
        static_cast<double>((now - state.filled_at).count()) /
        static_cast<double>(m_bounds->allowance_window.count());
    tokens =
        std::min(capacity, *state.tokens + capacity * std::max(windows, 0.0));
  }
  const bool admitted = tokens >= 1 || m_uniform() < tokens;
  state.tokens = admitted ? tokens - 1 : tokens;
  state.filled_at = now;
  state.used += admitted ? 1 : 0;
  return admitted;
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
  state.wait = grant.wait;
  state.spread = grant.spread;
}

void AllowanceGate::OnClaimLost(const AllowanceClaim& claim) {
  State& state = m_states[claim.team];
  state.unconfirmed -= std::min(state.unconfirmed, claim.used);
  state.used += claim.used;
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
