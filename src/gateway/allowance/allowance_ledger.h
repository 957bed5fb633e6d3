#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_

// PRIVATE HEADER. Pattern: one team whose callers are spread over all
// instances, each of which sees a few requests a second of it.

#include <cstdint>
#include <unordered_map>

#include "gateway/gateway_settings.h"
#include "gateway/platform_adapter.h"
#include "gateway/teams/team_directory.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// What an instance tells the owner of a team's ledger.
struct AllowanceClaim {
  TeamKey team;
  // In force at the instance, with the version of its configuration.
  Allowance allowance;
  ConfigVersion version;
  // Requests admitted since the last claim without asking first.
  uint32_t used = 0;
  // Admitted requests that no server has run.
  uint32_t returned = 0;
  // Requests that wait for a grant.
  uint32_t wanted = 0;

  friend bool operator==(const AllowanceClaim&,
                         const AllowanceClaim&) = default;
};

struct AllowanceGrant {
  TeamKey team;
  // Of the requests that wait; the others are rejected.
  uint32_t granted = 0;
  // The allowance is nearly used up: instances ask before they admit.
  bool ask_first = false;
  // Time until a request that is rejected now could be admitted, and time over
  // which the rejected requests of the last second could be.
  Duration wait{0};
  Duration spread{0};
  // Share of the team's use that came from the claiming instance, from 0 to 1.
  double share = 0;

  friend bool operator==(const AllowanceGrant&,
                         const AllowanceGrant&) = default;
};

// Use of the allowances of the teams that this instance owns, summed over all
// instances. Each team has a token bucket; use that is reported afterwards may
// overdraw it, and later requests make up for it.
class AllowanceLedger {
 public:
  explicit AllowanceLedger(const ServiceBounds* bounds) : m_bounds(bounds) {}

  // `claimant` is the instance that made the claim.
  AllowanceGrant Settle(const AllowanceClaim& claim,
                        const InstanceId& claimant,
                        TimePoint now);
  // Forgets teams without claims. Called periodically.
  void Sweep(TimePoint now);
  size_t teams() const { return m_accounts.size(); }

 private:
  struct Account {
    Allowance allowance;
    ConfigVersion version;
    double tokens = 0;
    bool ask_first = false;
    TimePoint filled_at;
    // Requests rejected in about the last second.
    double rejected = 0;
    // Use by instance; fades.
    std::unordered_map<InstanceId, double> use;
    double total_use = 0;
  };

  Account& AccountOf(const AllowanceClaim& claim, TimePoint now);
  void Fill(Account& account, TimePoint now) const;
  double Capacity(const Allowance& allowance) const;
  static double CountUse(Account& account,
                         const InstanceId& claimant,
                         double requests);

  const ServiceBounds* const m_bounds;
  std::unordered_map<TeamKey, Account> m_accounts;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_
