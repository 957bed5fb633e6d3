#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TRANSFERS_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TRANSFERS_H_

// PRIVATE HEADER. Calls between instances that move tokens of allowances.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/allowance/allowance_ledger.h"
#include "gateway/allowance/allowance_owners.h"
#include "gateway/gateway_context.h"
#include "gateway/store_client.h"

namespace wasabihook::gateway {

// Asks the holders of portions for tokens when the ledger of this instance runs
// short, and answers such calls. A call carries the transfers of all teams that
// are due with one holder.
class AllowanceTransfers {
 public:
  AllowanceTransfers(GatewayContext* context,
                     AllowanceLedger* ledger,
                     const AllowanceOwners* owners)
      : m_context(context), m_ledger(ledger), m_owners(owners) {}
  AllowanceTransfers(const AllowanceTransfers&) = delete;
  AllowanceTransfers& operator=(const AllowanceTransfers&) = delete;

  // Asks for tokens of `team` if any are due.
  void Request(TeamKey team);
  // Handles the call of another instance; returns the body of the reply. Throws
  // an exception derived from std::exception if the call is malformed.
  std::string OnCall(std::string_view body);
  // Closes connections that have not been used for some time.
  void Sweep();

 private:
  struct Peer {
    InstanceId holder;
    std::unique_ptr<StoreClient> client;
    std::vector<AllowanceTransfer> queued;
    std::vector<AllowanceTransfer> sent;
    TimePoint used_at;
  };

  void Call(const std::string& address, Peer& peer);
  void OnReply(const std::string& address,
               const std::optional<StoreReply>& reply);

  GatewayContext* const m_context;
  AllowanceLedger* const m_ledger;
  const AllowanceOwners* const m_owners;
  // By address.
  std::map<std::string, Peer> m_peers;
};

// True if the target of a call between instances is a transfer.
bool IsAllowanceTransferCall(std::string_view target);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_TRANSFERS_H_
