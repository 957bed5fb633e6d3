#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_GATE_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_GATE_H_

// PRIVATE HEADER. Pattern: a team that sends many times its usual, while the
// instance that keeps its ledger may be gone.

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "gateway/allowance/allowance_ledger.h"

namespace wasabihook::gateway {

enum class AllowanceDecision : uint8_t {
  kAdmit,
  kAsk,  // The owner of the team's ledger decides.
};

// Decides at one instance whether a request of a team is within its allowance.
//
// While the owner of the team's ledger has seen enough left, requests are
// admitted at once and reported afterwards. Otherwise the owner is asked first.
// Requests that wait for it in vain are rejected, but for a part of the
// tolerance that is divided among all instances: others may be given the whole
// rate meanwhile.
class AllowanceGate {
 public:
  // `uniform` returns random numbers in [0, 1).
  AllowanceGate(const ServiceBounds* bounds, std::function<double()> uniform)
      : m_bounds(bounds), m_uniform(std::move(uniform)) {}

  // Number of instances among which the part of the tolerance is divided.
  void SetInstances(uint32_t instances) { m_instances = instances; }

  // Decides on one request. If it is admitted, its use is reported with the
  // next claim.
  AllowanceDecision Decide(const Team& team);
  // Returns true if a request that waited for the owner in vain is admitted.
  bool AdmitAlone(const Team& team, TimePoint now);
  // An admitted request has ended and no server has run it.
  void Return(const Team& team);

  // What has to be reported to the owner, with `wanted` requests that wait.
  // Empty if there is nothing to say. It counts as under way until OnGrant() or
  // OnClaimLost().
  std::optional<AllowanceClaim> TakeClaim(const Team& team,
                                          ConfigVersion version,
                                          uint32_t wanted);
  void OnGrant(const AllowanceClaim& claim, const AllowanceGrant& grant);
  // The owner said so, to this or to another instance.
  void SetAskFirst(TeamKey team, bool ask_first) {
    m_states[team].ask_first = ask_first;
  }
  // The owner may not have received the claim. The next one gets what was used;
  // what was returned is lost, as it must not be credited twice.
  void OnClaimLost(const AllowanceClaim& claim);

  // Forgets teams with nothing to report if there are very many. Called
  // periodically.
  void Sweep();
  // Retry-After of a request that is rejected now.
  Duration RetryAfter(const Team& team) const;
  bool asks_first(TeamKey team) const;

 private:
  struct State {
    bool ask_first = false;
    uint32_t used = 0;
    uint32_t returned = 0;
    // Admitted requests in claims that are under way.
    uint32_t unconfirmed = 0;
    Duration wait{0};
    Duration spread{0};
    // Bucket for decisions without the owner; full until the first of them.
    std::optional<double> tokens;
    TimePoint filled_at;
  };

  const ServiceBounds* const m_bounds;
  const std::function<double()> m_uniform;
  uint32_t m_instances = 1;
  std::unordered_map<TeamKey, State> m_states;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_GATE_H_
