#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_EXCHANGE_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_EXCHANGE_H_

// PRIVATE HEADER. Keeps the allowances of teams over all instances.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/allowance/allowance_gate.h"
#include "gateway/allowance/allowance_ledger.h"
#include "gateway/allowance/allowance_owners.h"
#include "gateway/allowance/allowance_transfers.h"
#include "gateway/gateway_context.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

struct AllowanceVerdict {
  bool admitted = false;
  // For a request that is rejected.
  Duration retry_after{0};
};

// Admits requests of teams, reports their use to the owners of the teams'
// ledgers, and keeps the ledgers of the teams whose claims come to this
// instance, as long as no owner can be reached its own included. A call
// carries the claims of all teams of one owner; while it is under way, further
// ones are collected for the next.
class AllowanceExchange {
 public:
  using Done = std::function<void(AllowanceVerdict)>;
  using WaitId = uint64_t;

  struct Admission {
    // Empty: `done` is called later, unless Cancel(wait) is called before.
    std::optional<AllowanceVerdict> verdict;
    WaitId wait = 0;
  };

  explicit AllowanceExchange(GatewayContext* context);
  ~AllowanceExchange();
  AllowanceExchange(const AllowanceExchange&) = delete;
  AllowanceExchange& operator=(const AllowanceExchange&) = delete;

  // Instances that can own ledgers, this one included, and the number of
  // instances that there may be. `knows_self`: see AllowanceOwners::SetFleet().
  void SetInstances(std::vector<AllowanceOwner> instances,
                    uint32_t count,
                    bool knows_self);

  Admission Admit(const TeamPtr& team, ConfigVersion version, Done done);
  void Cancel(WaitId wait);
  // An admitted request has ended and no server has run it.
  void Return(const TeamPtr& team, ConfigVersion version);

  // `hook` runs when a team that this instance owns comes near the end of its
  // allowance, or leaves it; all instances are to know.
  void SetNewsHook(std::function<void()> hook) {
    m_news_hook = std::move(hook);
  }
  // Marks of other owners.
  void OnMarks(const std::vector<AllowanceMark>& marks);

  // Handles the call of another instance; returns the body of the reply. Throws
  // an exception derived from std::exception if the call is malformed.
  std::string OnCall(std::string_view target, std::string_view body);
  void Sweep();
  size_t ledgers() const { return m_ledger.teams(); }

 private:
  struct Waiter {
    WaitId id = 0;
    Done done;
  };
  // A team with something to tell its owner.
  struct Pending {
    TeamPtr team;
    ConfigVersion version;
    std::deque<Waiter> waiters;
  };
  // Claims in a call, and the requests that wait for its reply.
  struct SentClaim {
    Pending source;
    AllowanceClaim claim;
  };
  struct Peer {
    std::unique_ptr<StoreClient> client;
    std::vector<SentClaim> sent;
  };

  Pending& PendingOf(const TeamPtr& team, ConfigVersion version);
  void FlushSoon(Duration delay);
  void Flush();
  std::optional<SentClaim> Take(Pending pending);
  void Call(const std::string& address, std::vector<SentClaim> claims);
  void OnReply(const std::string& address,
               const std::optional<StoreReply>& reply);
  // Settles a claim with a ledger of this instance.
  AllowanceGrant SettleHere(const AllowanceClaim& claim);
  void Settle(SentClaim& sent, const AllowanceGrant& grant);
  void TakeBack(SentClaim& sent);
  void OnHeldTooLong(WaitId id);
  void Resolve(const TeamPtr& team, Waiter waiter, bool admitted);
  AllowanceVerdict Verdict(const Team& team, bool admitted);

  GatewayContext* const m_context;
  AllowanceOwners m_owners;
  AllowanceLedger m_ledger;
  AllowanceTransfers m_transfers;
  AllowanceGate m_gate;
  std::function<void()> m_news_hook;
  std::map<TeamKey, Pending> m_pending;
  std::map<std::string, Peer> m_peers;
  // Requests that wait, by id.
  struct Held {
    TeamPtr team;
    TimerHandle timer;
  };
  std::map<WaitId, Held> m_held;
  WaitId m_last_wait = 0;
  std::optional<TimerHandle> m_flush_timer;
  TimePoint m_flush_at;
};

// True if the target of a call between instances is one of this exchange.
bool IsAllowanceCall(std::string_view target);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_EXCHANGE_H_
