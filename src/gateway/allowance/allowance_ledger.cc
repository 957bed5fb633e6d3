#include "gateway/allowance/allowance_ledger.h"

#include <algorithm>
#include <cmath>

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

double AllowanceLedger::Capacity(const Allowance& allowance) const {
  const double tolerance =
      m_bounds->allowance_overage *
          (allowance.rate * Seconds(m_bounds->allowance_window) +
           allowance.burst) +
      m_bounds->allowance_slack;
  return std::max(1.0, allowance.burst + kAllowanceToleranceShare * tolerance);
}

void AllowanceLedger::Fill(Account& account, TimePoint now) const {
  const double elapsed = std::max(Seconds(now - account.filled_at), 0.0);
  account.tokens = std::min(Capacity(account.allowance),
                            account.tokens + account.allowance.rate * elapsed);
  const double fading = std::exp(-elapsed);
  account.rejected *= fading;
  account.filled_at = now;
}

AllowanceLedger::Account& AllowanceLedger::AccountOf(
    const AllowanceClaim& claim,
    TimePoint now) {
  const auto [found, added] = m_accounts.try_emplace(claim.team);
  Account& account = found->second;
  if (added) {
    // The owner of before may have given out the burst.
    account.tokens =
        std::min(Capacity(claim.allowance),
                 std::max(kFreshLedgerTokens,
                          kFreshLedgerShare * Capacity(claim.allowance)));
    account.filled_at = now;
  }
  if (added || claim.version > account.version) {
    if (!added)
      Fill(account, now);
    account.allowance = claim.allowance;
    account.version = claim.version;
  }
  Fill(account, now);
  return account;
}

double AllowanceLedger::CountUse(Account& account,
                                 const InstanceId& claimant,
                                 double requests) {
  // The totals fade as requests come, so that no timer is needed.
  if (requests > 0) {
    const double fading = 1 - std::min(requests / kAllowanceUseMemory, 1.0);
    account.total_use = account.total_use * fading + requests;
    for (auto& [instance, use] : account.use)
      use *= fading;
    std::erase_if(account.use, [](const auto& entry) {
      return entry.second < kMinAllowanceUse;
    });
    account.use[claimant] += requests;
  }
  const auto own = account.use.find(claimant);
  return own == account.use.end() || account.total_use <= 0
             ? 0
             : std::min(own->second / account.total_use, 1.0);
}

AllowanceGrant AllowanceLedger::Settle(const AllowanceClaim& claim,
                                       const InstanceId& claimant,
                                       TimePoint now) {
  AllowanceGrant out{.team = claim.team};
  if (!claim.allowance.limited()) {
    out.granted = claim.wanted;
    return out;
  }
  Account& account = AccountOf(claim, now);
  const double capacity = Capacity(account.allowance);
  account.tokens += static_cast<double>(claim.returned);
  account.tokens -= static_cast<double>(claim.used);
  account.tokens = std::clamp(
      account.tokens,
      -account.allowance.rate * Seconds(m_bounds->allowance_window), capacity);
  out.granted = std::min(
      claim.wanted,
      static_cast<uint32_t>(std::clamp(std::floor(account.tokens), 0.0, 4e9)));
  account.tokens -= static_cast<double>(out.granted);
  account.rejected += static_cast<double>(claim.wanted - out.granted);
  account.ask_first =
      account.tokens < capacity * (account.ask_first ? kAllowanceHighWaterShare
                                                     : kAllowanceLowWaterShare);
  out.ask_first = account.ask_first;
  if (account.allowance.rate > 0) {
    out.wait = FromSeconds(std::clamp(
        (1 - account.tokens) / account.allowance.rate, 0.0, kMaxAllowanceWait));
    out.spread = FromSeconds(std::clamp(
        account.rejected / account.allowance.rate, 0.0, kMaxAllowanceWait));
  }
  out.share = CountUse(account, claimant, claim.used + out.granted);
  return out;
}

void AllowanceLedger::Sweep(TimePoint now) {
  std::erase_if(m_accounts, [now](const auto& entry) {
    return now - entry.second.filled_at > kAllowanceAccountExpiry;
  });
}

}  // namespace wasabihook::gateway
