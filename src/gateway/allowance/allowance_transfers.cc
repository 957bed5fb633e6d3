#include "gateway/allowance/allowance_transfers.h"

#include <utility>

#include "gateway/allowance/allowance_message.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kTarget = "/fleet/allowance-transfer";

}  // namespace

bool IsAllowanceTransferCall(std::string_view target) {
  return target == kTarget;
}

void AllowanceTransfers::Request(TeamKey team) {
  const TimePoint now = m_context->loop->Now();
  for (auto& [holder, transfer] : m_ledger->TakeDueTransfers(team, now)) {
    const std::string* address = m_owners->AddressOf(holder);
    if (address == nullptr) {
      m_ledger->OnTransferLost(holder, team, now);
      continue;
    }
    Peer& peer = m_peers[*address];
    peer.holder = holder;
    peer.used_at = now;
    peer.queued.push_back(transfer);
    if (peer.client == nullptr)
      peer.client = std::make_unique<StoreClient>(m_context->loop, *address);
    if (!peer.client->busy())
      Call(*address, peer);
  }
}

void AllowanceTransfers::Call(const std::string& address, Peer& peer) {
  peer.sent = std::exchange(peer.queued, {});
  m_context->metrics->CountAllowance("transfer_asked");
  peer.client->Call({.method = "POST",
                     .target = std::string(kTarget),
                     .body = EncodeTransfers(peer.sent)},
                    kAllowanceCallTimeout,
                    [this, address](const std::optional<StoreReply>& reply) {
                      OnReply(address, reply);
                    });
}

void AllowanceTransfers::OnReply(const std::string& address,
                                 const std::optional<StoreReply>& reply) {
  const TimePoint now = m_context->loop->Now();
  Peer& peer = m_peers[address];
  const std::vector<AllowanceTransfer> sent = std::exchange(peer.sent, {});
  std::vector<AllowanceTransferReply> replies;
  try {
    if (reply && reply->status == kOk)
      replies = DecodeTransferReplies(reply->body);
  } catch (const std::exception& error) {
    m_context->log->Warning("fleet_message_invalid",
                            {{"address", address}, {"reason", error.what()}});
  }
  const bool answered = replies.size() == sent.size();
  if (!answered) {
    m_context->metrics->CountAllowance("transfer_lost");
    m_context->log->Info("allowance_holder_unreachable",
                         {{"instance", peer.holder.value()},
                          {"teams", sent.size()},
                          {"status", reply ? reply->status : 0}});
  }
  for (size_t i = 0; i < sent.size(); ++i) {
    if (answered && replies[i].team == sent[i].team)
      m_ledger->OnTransfer(peer.holder, replies[i], now);
    else
      m_ledger->OnTransferLost(peer.holder, sent[i].team, now);
  }
  if (!peer.queued.empty())
    Call(address, peer);
}

std::string AllowanceTransfers::OnCall(std::string_view body) {
  std::vector<AllowanceTransferReply> replies;
  for (const AllowanceTransfer& transfer : DecodeTransfers(body))
    replies.push_back(m_ledger->Give(transfer, m_context->loop->Now()));
  return EncodeTransferReplies(replies);
}

void AllowanceTransfers::Sweep() {
  const TimePoint now = m_context->loop->Now();
  std::erase_if(m_peers, [now](const auto& entry) {
    return now - entry.second.used_at > kAllowanceConnectionExpiry &&
           !entry.second.client->busy();
  });
}

}  // namespace wasabihook::gateway
