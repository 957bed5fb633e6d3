#include "gateway/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>

#include "gateway/allowance/allowance_tolerance.h"

namespace wasabihook::gateway {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerSecond;
}

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * kMicrosecondsPerSecond));
}

}  // namespace

const AllowancePortions& AllowanceLedger::PortionsOf(TeamKey team) const {
  static const AllowancePortions whole;
  return m_portions_of ? m_portions_of(team) : whole;
}

double AllowanceLedger::Capacity(const Allowance& allowance) const {
  return std::max(
      1.0, allowance.burst + kAllowanceToleranceShare *
                                 AllowanceTolerance(allowance, *m_bounds));
}

double AllowanceLedger::MostAt(const Account& account,
                               const AllowancePortions& portions,
                               const InstanceId& holder,
                               TimePoint now) const {
  const double most = Capacity(account.allowance) / portions.count;
  const auto known = account.portions.find(holder);
  if (known == account.portions.end())
    return most;
  const Portion& portion = known->second;
  const double yielded = account.allowance.rate / portions.count *
                         std::max(Seconds(now - portion.at), 0.0);
  return std::min(most, portion.left + yielded);
}

double AllowanceLedger::MostElsewhere(const Account& account,
                                      const AllowancePortions& portions,
                                      TimePoint now) const {
  const size_t listed = portions.others.size() + (portions.own ? 1 : 0);
  double out = Capacity(account.allowance) / portions.count *
               static_cast<double>(portions.count - listed);
  for (const InstanceId& holder : portions.others)
    out += MostAt(account, portions, holder, now);
  return out;
}

// What the other portions may have had time to yield counts as used here, so
// that all instances together never have more than the capacity.
void AllowanceLedger::Fill(Account& account,
                           const AllowancePortions& portions,
                           TimePoint now) const {
  const double elapsed = std::max(Seconds(now - account.filled_at), 0.0);
  const double yielded = portions.own && account.had_portion
                             ? account.allowance.rate / portions.count * elapsed
                             : 0;
  account.tokens = std::min(
      Capacity(account.allowance) - MostElsewhere(account, portions, now),
      account.tokens + yielded);
  account.rejected *= std::exp(-elapsed);
  account.filled_at = now;
  account.had_portion = portions.own;
}

AllowanceLedger::Account& AllowanceLedger::AccountOf(TeamKey team,
                                                     const Allowance& allowance,
                                                     ConfigVersion version,
                                                     TimePoint now) {
  const auto [found, added] = m_accounts.try_emplace(team);
  Account& account = found->second;
  const AllowancePortions& portions = PortionsOf(team);
  if (added) {
    // The process of before may have given out the burst.
    if (portions.own)
      account.tokens =
          std::min(Capacity(allowance),
                   std::max(kFreshLedgerTokens,
                            kFreshLedgerShare * Capacity(allowance))) /
          portions.count;
    account.filled_at = now;
  }
  if (added || version > account.version) {
    if (!added)
      Fill(account, portions, now);
    account.allowance = allowance;
    account.version = version;
  }
  Fill(account, portions, now);
  return account;
}

bool AllowanceLedger::IsNearlyUsedUp(const Account& account,
                                     const AllowancePortions& portions,
                                     TimePoint now) const {
  const double capacity = Capacity(account.allowance);
  double available = account.tokens;
  uint32_t reachable = portions.own ? 1 : 0;
  for (const InstanceId& holder : portions.others) {
    const auto known = account.portions.find(holder);
    if (known == account.portions.end() ||
        known->second.contact != Contact::kAnswers)
      continue;
    available += MostAt(account, portions, holder, now);
    ++reachable;
  }
  const double most = capacity * reachable / portions.count;
  return available < most * (account.ask_first ? kAllowanceHighWaterShare
                                               : kAllowanceLowWaterShare) ||
         reachable == 0;
}

AllowanceGrant AllowanceLedger::Settle(const AllowanceClaim& claim,
                                       TimePoint now) {
  AllowanceGrant out{.team = claim.team};
  if (!claim.allowance.limited()) {
    out.granted = claim.wanted;
    return out;
  }
  const AllowancePortions& portions = PortionsOf(claim.team);
  Account& account = AccountOf(claim.team, claim.allowance, claim.version, now);
  account.claimed_at = now;
  const double most =
      Capacity(account.allowance) - MostElsewhere(account, portions, now);
  const double least =
      -account.allowance.rate * Seconds(m_bounds->allowance_window);
  account.tokens += static_cast<double>(claim.returned);
  account.tokens -= static_cast<double>(claim.used);
  account.tokens = std::clamp(account.tokens, least, std::max(least, most));
  out.granted = std::min(
      claim.wanted,
      static_cast<uint32_t>(std::clamp(std::floor(account.tokens), 0.0, 4e9)));
  account.tokens -= static_cast<double>(out.granted);
  account.rejected += static_cast<double>(claim.wanted - out.granted);
  account.ask_first = IsNearlyUsedUp(account, portions, now);
  out.ask_first = account.ask_first;
  if (account.allowance.rate > 0) {
    out.wait = FromSeconds(std::clamp(
        (1 - account.tokens) / account.allowance.rate, 0.0, kMaxAllowanceWait));
    out.spread = FromSeconds(std::clamp(
        account.rejected / account.allowance.rate, 0.0, kMaxAllowanceWait));
  }
  return out;
}

std::vector<AllowanceLedger::DueTransfer> AllowanceLedger::TakeDueTransfers(
    TeamKey team,
    TimePoint now) {
  std::vector<DueTransfer> out;
  const auto found = m_accounts.find(team);
  if (found == m_accounts.end() || now < found->second.next_transfer_at)
    return out;
  Account& account = found->second;
  const AllowancePortions& portions = PortionsOf(team);
  const double capacity = Capacity(account.allowance);
  if (account.tokens >=
      std::max(1.0, kAllowanceLowWaterShare * capacity / portions.count))
    return out;
  double expected = 0;
  std::vector<InstanceId> holders;
  for (const InstanceId& holder : portions.others) {
    const auto known = account.portions.find(holder);
    if (known != account.portions.end() &&
        (known->second.asked || now < known->second.retry_at))
      continue;
    expected += MostAt(account, portions, holder, now);
    holders.push_back(holder);
  }
  if (expected < kMinAllowanceTransfer)
    return out;
  account.next_transfer_at = now + kAllowanceTransferPeriod;
  for (const InstanceId& holder : holders) {
    // Unknown until it answers: it may have all that its portion can hold.
    const auto [portion, added] = account.portions.try_emplace(
        holder, Portion{.left = capacity / portions.count, .at = now});
    portion->second.asked = true;
    out.push_back(
        {.holder = holder,
         .transfer = {.team = team,
                      .allowance = account.allowance,
                      .version = account.version,
                      .wanted = (capacity - account.tokens) /
                                static_cast<double>(holders.size())}});
  }
  return out;
}

void AllowanceLedger::OnTransfer(const InstanceId& holder,
                                 const AllowanceTransferReply& reply,
                                 TimePoint now) {
  const auto found = m_accounts.find(reply.team);
  if (found == m_accounts.end())
    return;
  Account& account = found->second;
  const AllowancePortions& portions = PortionsOf(reply.team);
  Fill(account, portions, now);
  account.portions[holder] = {
      .left = reply.left, .at = now, .contact = Contact::kAnswers};
  account.tokens = std::min(
      account.tokens + reply.given,
      Capacity(account.allowance) - MostElsewhere(account, portions, now));
}

void AllowanceLedger::OnTransferLost(const InstanceId& holder,
                                     TeamKey team,
                                     TimePoint now) {
  const auto found = m_accounts.find(team);
  if (found == m_accounts.end())
    return;
  const auto portion = found->second.portions.find(holder);
  if (portion == found->second.portions.end())
    return;
  portion->second.asked = false;
  portion->second.contact = Contact::kSilent;
  portion->second.retry_at = now + kAllowanceRetryDelay;
}

bool AllowanceLedger::AwaitsTransfers(TeamKey team) const {
  const auto found = m_accounts.find(team);
  return found != m_accounts.end() &&
         std::any_of(found->second.portions.begin(),
                     found->second.portions.end(), [](const auto& entry) {
                       return entry.second.asked &&
                              entry.second.contact != Contact::kSilent;
                     });
}

AllowanceTransferReply AllowanceLedger::Give(const AllowanceTransfer& transfer,
                                             TimePoint now) {
  AllowanceTransferReply out{.team = transfer.team};
  if (!transfer.allowance.limited())
    return out;
  Account& account =
      AccountOf(transfer.team, transfer.allowance, transfer.version, now);
  // Two instances that both get claims would otherwise take the tokens from
  // each other in turn.
  const bool grants = now - account.claimed_at < kAllowanceTransferPeriod;
  const double spare =
      std::max(account.tokens, 0.0) * (grants ? kAllowanceGivenShare : 1);
  out.given = std::clamp(transfer.wanted, 0.0, spare);
  account.tokens -= out.given;
  out.left = std::max(account.tokens, 0.0);
  return out;
}

void AllowanceLedger::Sweep(TimePoint now) {
  std::erase_if(m_accounts, [now](const auto& entry) {
    return now - entry.second.filled_at > kAllowanceAccountExpiry;
  });
}

}  // namespace wasabihook::gateway
