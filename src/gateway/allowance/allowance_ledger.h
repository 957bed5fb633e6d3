#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_

// PRIVATE HEADER. Pattern: one team whose callers are spread over all
// instances, each of which sees a few requests a second of it.

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "gateway/allowance/allowance_portions.h"
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
  // Tokens of other portions are on their way: what was not granted can be
  // asked for again at once.
  bool more_expected = false;
  // Time until a request that is rejected now could be admitted, and time over
  // which the rejected requests of the last second could be.
  Duration wait{0};
  Duration spread{0};

  friend bool operator==(const AllowanceGrant&,
                         const AllowanceGrant&) = default;
};

// Asks the holder of a portion for tokens of a team.
struct AllowanceTransfer {
  TeamKey team;
  // In force at the asking instance, with the version of its configuration.
  Allowance allowance;
  ConfigVersion version;
  double wanted = 0;

  friend bool operator==(const AllowanceTransfer&,
                         const AllowanceTransfer&) = default;
};

struct AllowanceTransferReply {
  TeamKey team;
  double given = 0;
  // Tokens that the holder has left.
  double left = 0;

  friend bool operator==(const AllowanceTransferReply&,
                         const AllowanceTransferReply&) = default;
};

// Ledgers of the teams whose claims come to this instance. A ledger is a token
// bucket; use that is reported afterwards may overdraw it, and later requests
// make up for it.
//
// Tokens come into being only at the instances that have a portion of the
// allowance, at the rate of the portion. All others have been handed over by
// one of them, which no longer has them. Any number of instances may therefore
// grant requests of a team at the same time, whatever they know of each other:
// together they grant what the portions yield.
class AllowanceLedger {
 public:
  using PortionsHook = std::function<const AllowancePortions&(TeamKey)>;

  // Without `portions_of`, this instance has all of each allowance.
  explicit AllowanceLedger(const ServiceBounds* bounds,
                           PortionsHook portions_of = nullptr)
      : m_bounds(bounds), m_portions_of(std::move(portions_of)) {}

  AllowanceGrant Settle(const AllowanceClaim& claim, TimePoint now);

  // The holders of portions that are to be asked for tokens now. Each counts as
  // asked until OnTransfer() or OnTransferLost().
  struct DueTransfer {
    InstanceId holder;
    AllowanceTransfer transfer;
  };
  std::vector<DueTransfer> TakeDueTransfers(TeamKey team, TimePoint now);
  void OnTransfer(const InstanceId& holder,
                  const AllowanceTransferReply& reply,
                  TimePoint now);
  // The holder did not answer. What it may have handed over is lost.
  void OnTransferLost(const InstanceId& holder, TeamKey team, TimePoint now);
  bool AwaitsTransfers(TeamKey team) const;
  // Hands over tokens to another instance.
  AllowanceTransferReply Give(const AllowanceTransfer& transfer, TimePoint now);

  // Forgets teams without claims. Called periodically.
  void Sweep(TimePoint now);
  size_t teams() const { return m_accounts.size(); }

 private:
  enum class Contact : uint8_t { kNone, kAnswers, kSilent };

  // What is known of the portion of another instance.
  struct Portion {
    // Tokens after the last transfer.
    double left = 0;
    TimePoint at;
    Contact contact = Contact::kNone;
    bool asked = false;
    TimePoint retry_at{};
  };

  struct Account {
    Allowance allowance;
    ConfigVersion version;
    double tokens = 0;
    bool ask_first = false;
    TimePoint filled_at;
    // This instance had a portion at that time.
    bool had_portion = false;
    // The last claim of requests.
    TimePoint claimed_at;
    // Requests rejected in about the last second.
    double rejected = 0;
    std::map<InstanceId, Portion> portions;
    TimePoint next_transfer_at;
  };

  const AllowancePortions& PortionsOf(TeamKey team) const;
  Account& AccountOf(TeamKey team,
                     const Allowance& allowance,
                     ConfigVersion version,
                     TimePoint now);
  void Fill(Account& account,
            const AllowancePortions& portions,
            TimePoint now) const;
  double Capacity(const Allowance& allowance) const;
  // The most that the portion of `holder` can have now; all of it if it has
  // never answered.
  double MostAt(const Account& account,
                const AllowancePortions& portions,
                const InstanceId& holder,
                TimePoint now) const;
  // The most that the portions of other instances can have now.
  double MostElsewhere(const Account& account,
                       const AllowancePortions& portions,
                       TimePoint now) const;
  // Decides whether the team is near the end of what can be had of its
  // allowance.
  bool IsNearlyUsedUp(const Account& account,
                      const AllowancePortions& portions,
                      TimePoint now) const;

  const ServiceBounds* const m_bounds;
  const PortionsHook m_portions_of;
  std::unordered_map<TeamKey, Account> m_accounts;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_LEDGER_H_
