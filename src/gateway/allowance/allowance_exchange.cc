#include "gateway/allowance/allowance_exchange.h"

#include <algorithm>
#include <utility>

#include "gateway/allowance/allowance_message.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kTarget = "/fleet/allowance/";

}  // namespace

bool IsAllowanceCall(std::string_view target) {
  return target.starts_with(kTarget) || IsAllowanceTransferCall(target);
}

AllowanceExchange::AllowanceExchange(GatewayContext* context)
    : m_context(context),
      m_ledger(&context->settings->bounds,
               [this](TeamKey team) -> const AllowancePortions& {
                 return m_owners.PortionsOf(team,
                                            m_context->settings->instance);
               }),
      m_transfers(context, &m_ledger, &m_owners),
      m_gate(&context->settings->bounds,
             [context] { return context->Uniform(); }) {}

AllowanceExchange::~AllowanceExchange() {
  if (m_flush_timer)
    m_context->loop->Unsubscribe(*m_flush_timer);
  for (const auto& [id, held] : m_held)
    m_context->loop->Unsubscribe(held.timer);
}

void AllowanceExchange::SetInstances(std::vector<AllowanceOwner> instances,
                                     uint32_t count,
                                     bool knows_self) {
  std::erase_if(m_peers, [&instances](const auto& entry) {
    const bool listed = std::any_of(instances.begin(), instances.end(),
                                    [&entry](const AllowanceOwner& owner) {
                                      return owner.address == entry.first;
                                    });
    const StoreClient* client = entry.second.client.get();
    return !listed && (client == nullptr || !client->busy());
  });
  m_owners.SetInstances(std::move(instances));
  m_owners.SetFleet(count, knows_self);
  m_gate.SetInstances(count);
}

void AllowanceExchange::Sweep() {
  m_ledger.Sweep(m_context->loop->Now());
  m_gate.Sweep();
  m_transfers.Sweep();
}

AllowanceExchange::Pending& AllowanceExchange::PendingOf(
    const TeamPtr& team,
    ConfigVersion version) {
  Pending& out = m_pending[team->key];
  if (out.team == nullptr || out.version <= version) {
    out.team = team;
    out.version = version;
  }
  return out;
}

AllowanceVerdict AllowanceExchange::Verdict(const Team& team, bool admitted) {
  if (admitted)
    return {.admitted = true};
  m_context->metrics->CountAllowance("rejected");
  return {.admitted = false, .retry_after = m_gate.RetryAfter(team)};
}

AllowanceExchange::Admission AllowanceExchange::Admit(const TeamPtr& team,
                                                      ConfigVersion version,
                                                      Done done) {
  if (!team->allowance.limited())
    return {.verdict = AllowanceVerdict{.admitted = true}};
  const AllowanceDecision decision = m_gate.Decide(*team);
  Pending& pending = PendingOf(team, version);
  if (decision == AllowanceDecision::kAdmit) {
    FlushSoon(kAllowanceReportDelay);
    return {.verdict = AllowanceVerdict{.admitted = true}};
  }
  const WaitId id = ++m_last_wait;
  pending.waiters.push_back({.id = id, .done = std::move(done)});
  m_held.emplace(id,
                 Held{.team = team,
                      .timer = m_context->loop->SubscribeOnce(
                          kAllowanceHold, [this, id] { OnHeldTooLong(id); })});
  m_context->metrics->CountAllowance("asked");
  FlushSoon(Duration(0));
  return {.verdict = std::nullopt, .wait = id};
}

void AllowanceExchange::Cancel(WaitId wait) {
  const auto found = m_held.find(wait);
  if (found == m_held.end())
    return;
  m_context->loop->Unsubscribe(found->second.timer);
  m_held.erase(found);
}

void AllowanceExchange::Return(const TeamPtr& team, ConfigVersion version) {
  if (!team->allowance.limited())
    return;
  m_gate.Return(*team);
  PendingOf(team, version);
  FlushSoon(kAllowanceReportDelay);
}

void AllowanceExchange::FlushSoon(Duration delay) {
  const TimePoint at = m_context->loop->Now() + delay;
  if (m_flush_timer && m_flush_at <= at)
    return;
  if (m_flush_timer)
    m_context->loop->Unsubscribe(*m_flush_timer);
  m_flush_at = at;
  m_flush_timer = m_context->loop->SubscribeOnce(delay, [this] {
    m_flush_timer.reset();
    Flush();
  });
}

// Empty if there is nothing to tell.
std::optional<AllowanceExchange::SentClaim> AllowanceExchange::Take(
    Pending pending) {
  std::erase_if(pending.waiters, [this](const Waiter& waiter) {
    return !m_held.contains(waiter.id);
  });
  const auto claim =
      m_gate.TakeClaim(*pending.team, pending.version,
                       static_cast<uint32_t>(pending.waiters.size()));
  if (!claim)
    return std::nullopt;
  return SentClaim{.source = std::move(pending), .claim = *claim};
}

void AllowanceExchange::Flush() {
  const TimePoint now = m_context->loop->Now();
  std::map<std::string, std::vector<SentClaim>> calls;
  std::map<TeamKey, Pending> pending = std::exchange(m_pending, {});
  for (auto& [key, item] : pending) {
    const AllowanceOwner* owner = m_owners.Select(key, now);
    const bool is_self =
        owner == nullptr || owner->id == m_context->settings->instance;
    const bool must_wait =
        (!is_self && (m_peers[owner->address].client != nullptr) &&
         m_peers[owner->address].client->busy()) ||
        (!is_self && calls[owner->address].size() >= kMaxClaimsInCall);
    if (must_wait) {
      m_pending.emplace(key, std::move(item));
      continue;
    }
    std::optional<SentClaim> sent = Take(std::move(item));
    if (!sent)
      continue;
    if (is_self)
      Settle(*sent, SettleHere(sent->claim));
    else
      calls[owner->address].push_back(std::move(*sent));
  }
  for (auto& [address, claims] : calls) {
    if (!claims.empty())
      Call(address, std::move(claims));
  }
}

void AllowanceExchange::Call(const std::string& address,
                             std::vector<SentClaim> claims) {
  Peer& peer = m_peers[address];
  if (peer.client == nullptr)
    peer.client = std::make_unique<StoreClient>(m_context->loop, address);
  std::vector<AllowanceClaim> message;
  for (const SentClaim& sent : claims)
    message.push_back(sent.claim);
  peer.sent = std::move(claims);
  m_context->metrics->CountAllowance("called");
  peer.client->Call(
      {.method = "POST",
       .target = std::string(kTarget) + m_context->settings->instance.value(),
       .body = EncodeClaims(message)},
      kAllowanceCallTimeout,
      [this, address](const std::optional<StoreReply>& reply) {
        OnReply(address, reply);
      });
}

void AllowanceExchange::OnReply(const std::string& address,
                                const std::optional<StoreReply>& reply) {
  std::vector<SentClaim> sent = std::exchange(m_peers[address].sent, {});
  std::vector<AllowanceGrant> grants;
  try {
    if (reply && reply->status == kOk)
      grants = DecodeGrants(reply->body);
  } catch (const std::exception& error) {
    m_context->log->Warning("fleet_message_invalid",
                            {{"address", address}, {"reason", error.what()}});
  }
  const bool reached = grants.size() == sent.size();
  if (reached) {
    m_owners.OnReached(address);
  } else {
    m_context->metrics->CountAllowance("unreachable");
    m_context->log->Info("allowance_owner_unreachable",
                         {{"address", address},
                          {"claims", sent.size()},
                          {"status", reply ? reply->status : 0}});
    m_owners.OnUnreachable(address, m_context->loop->Now());
  }
  for (size_t i = 0; i < sent.size(); ++i) {
    if (reached && grants[i].team == sent[i].claim.team)
      Settle(sent[i], grants[i]);
    else
      TakeBack(sent[i]);
  }
  if (!m_pending.empty())
    FlushSoon(Duration(0));
}

AllowanceGrant AllowanceExchange::SettleHere(const AllowanceClaim& claim) {
  const TimePoint now = m_context->loop->Now();
  AllowanceGrant out = m_ledger.Settle(claim, now);
  m_transfers.Request(claim.team);
  out.more_expected =
      out.granted < claim.wanted && m_ledger.AwaitsTransfers(claim.team);
  if (m_context->allowance_marks->Apply(
          {.team = claim.team, .ask_first = out.ask_first, .at = now}, now)) {
    m_context->metrics->CountAllowance(out.ask_first ? "marked" : "unmarked");
    m_gate.SetAskFirst(claim.team, out.ask_first);
    if (m_news_hook)
      m_news_hook();
  }
  return out;
}

void AllowanceExchange::OnMarks(const std::vector<AllowanceMark>& marks) {
  for (const AllowanceMark& mark : marks)
    m_gate.SetAskFirst(mark.team, mark.ask_first);
}

// Requests that did not wait for the reply were decided without it; what was
// granted to them is given back. Requests that got nothing ask again if tokens
// are on their way, until they have waited for as long as they may.
void AllowanceExchange::Settle(SentClaim& sent, const AllowanceGrant& grant) {
  m_gate.OnGrant(sent.claim, grant);
  uint32_t granted = std::min(grant.granted, sent.claim.wanted);
  for (Waiter& waiter : sent.source.waiters) {
    const bool admitted = granted > 0;
    if (admitted)
      --granted;
    if (!m_held.contains(waiter.id)) {
      if (admitted)
        Return(sent.source.team, sent.source.version);
    } else if (admitted || !grant.more_expected) {
      Resolve(sent.source.team, std::move(waiter), admitted);
    } else {
      m_context->metrics->CountAllowance("asked_again");
      PendingOf(sent.source.team, sent.source.version)
          .waiters.push_back(std::move(waiter));
      FlushSoon(kAllowanceReportDelay);
    }
  }
}

void AllowanceExchange::TakeBack(SentClaim& sent) {
  m_gate.OnClaimLost(sent.claim);
  Pending& pending = PendingOf(sent.source.team, sent.source.version);
  pending.waiters.insert(pending.waiters.begin(),
                         std::make_move_iterator(sent.source.waiters.begin()),
                         std::make_move_iterator(sent.source.waiters.end()));
}

void AllowanceExchange::Resolve(const TeamPtr& team,
                                Waiter waiter,
                                bool admitted) {
  Cancel(waiter.id);
  waiter.done(Verdict(*team, admitted));
}

void AllowanceExchange::OnHeldTooLong(WaitId id) {
  const auto found = m_held.find(id);
  const TeamPtr team = found->second.team;
  m_held.erase(found);
  m_context->metrics->CountAllowance("owner_late");
  const bool admitted = m_gate.AdmitAlone(*team, m_context->loop->Now());
  // The waiter is in a queue or in a call, from which its callback is taken.
  const auto take = [id](std::deque<Waiter>& waiters) -> Done {
    const auto at =
        std::find_if(waiters.begin(), waiters.end(),
                     [id](const Waiter& waiter) { return waiter.id == id; });
    return at == waiters.end() ? nullptr : std::move(at->done);
  };
  Done done;
  if (const auto pending = m_pending.find(team->key);
      pending != m_pending.end())
    done = take(pending->second.waiters);
  for (auto& [address, peer] : m_peers) {
    for (SentClaim& sent : peer.sent) {
      if (done == nullptr && sent.claim.team == team->key)
        done = take(sent.source.waiters);
    }
  }
  if (done != nullptr)
    done(Verdict(*team, admitted));
}

std::string AllowanceExchange::OnCall(std::string_view target,
                                      std::string_view body) {
  if (IsAllowanceTransferCall(target))
    return m_transfers.OnCall(body);
  std::vector<AllowanceGrant> grants;
  for (const AllowanceClaim& claim : DecodeClaims(body))
    grants.push_back(SettleHere(claim));
  return EncodeGrants(grants);
}

}  // namespace wasabihook::gateway
