#include "decision/operations/quarantine.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace wasabihook {
namespace {

// Number of distinct servers whose crashes are sufficient to quarantine a body.
constexpr size_t kMinCrashedServers = 2;
// Number of distinct servers whose answers outweigh a crash during which the
// body was the only one in flight.
constexpr size_t kMinSuccessfulServers = 2;
constexpr size_t kMaxCrashesKept = 4;

Duration BoundedExpiry(Duration expiry) {
  return std::min(expiry, config::kMaxQuarantineExpiry);
}

}  // namespace

CrashQuarantine::CrashQuarantine(const TimerService* timers)
    : m_timers(timers) {}

size_t CrashQuarantine::BodyKeyHash::operator()(
    const BodyKey& key) const noexcept {
  return std::hash<TeamId>{}(key.team) * 31 + key.fingerprint.value();
}

CrashQuarantine::Shard& CrashQuarantine::ShardOf(const BodyKey& key) const {
  return m_shards[BodyKeyHash{}(key) % m_shards.size()];
}

QuarantineStatus CrashQuarantine::Check(const TeamId& team,
                                        Fingerprint body) const {
  const BodyKey key{team, body};
  const TimePoint now = m_timers->Now();
  const Shard& shard = ShardOf(key);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.bodies.find(key);
  if (it == shard.bodies.end() || it->second.expires <= now) {
    return QuarantineStatus::kNone;
  }
  if (it->second.quarantined) {
    return QuarantineStatus::kQuarantined;
  }
  return it->second.cleared ? QuarantineStatus::kNone
                            : QuarantineStatus::kSuspect;
}

void CrashQuarantine::ReportCrash(const ServerId& server,
                                  const std::vector<QuarantineEntry>& bodies) {
  std::map<BodyKey, Duration> distinct;
  for (const QuarantineEntry& body : bodies) {
    distinct[{body.team, body.fingerprint}] =
        body.expires_in > Duration(0) ? BoundedExpiry(body.expires_in)
                                      : config::kQuarantineExpiry;
  }
  const Crash crash{.server = server,
                    .at = m_timers->Now(),
                    .only_body_in_flight = distinct.size() == 1};
  std::vector<QuarantineEntry> added;
  for (const auto& [key, expiry] : distinct) {
    if (AddCrash(key, crash, expiry)) {
      added.push_back({key.team, key.fingerprint, expiry});
    }
  }
  std::function<void(QuarantineEntry)> hook;
  {
    std::lock_guard lock(m_hook_mutex);
    hook = m_on_added;
  }
  for (QuarantineEntry& entry : added) {
    if (hook) {
      hook(std::move(entry));
    }
  }
}

bool CrashQuarantine::AddCrash(const BodyKey& key,
                               const Crash& crash,
                               Duration expiry) {
  Shard& shard = ShardOf(key);
  std::lock_guard lock(shard.mutex);
  Evidence& evidence = FindOrAddEvidence(shard, key, crash.at);
  if (evidence.quarantined) {
    return false;
  }
  CountCrash(evidence, crash);
  evidence.expires = crash.at + expiry;
  evidence.quarantined = IsConclusive(evidence, crash);
  evidence.cleared = false;
  evidence.successes.clear();
  return evidence.quarantined;
}

void CrashQuarantine::CountCrash(Evidence& evidence, const Crash& crash) {
  auto it = std::find_if(
      evidence.crashes.begin(), evidence.crashes.end(),
      [&](const Crash& other) { return other.server == crash.server; });
  if (it == evidence.crashes.end()) {
    evidence.crash_count++;
    if (evidence.crashes.size() < kMaxCrashesKept) {
      evidence.crashes.push_back(crash);
    }
    return;
  }
  // In one crash the connections of a server are lost one after another. The
  // reports differ in what was still in flight, so only the first one counts.
  if (crash.at - it->at >= config::kCrashDeduplicationWindow) {
    evidence.crash_count++;
    it->at = crash.at;
    it->only_body_in_flight =
        it->only_body_in_flight || crash.only_body_in_flight;
  }
}

bool CrashQuarantine::IsConclusive(const Evidence& evidence,
                                   const Crash& latest) {
  const bool was_only_body_in_flight =
      std::any_of(evidence.crashes.begin(), evidence.crashes.end(),
                  [](const Crash& crash) { return crash.only_body_in_flight; });
  if (evidence.cleared && !latest.only_body_in_flight) {
    return false;
  }
  return evidence.crashes.size() >= kMinCrashedServers ||
         (was_only_body_in_flight && evidence.crash_count >= 2);
}

void CrashQuarantine::ReportSuccess(const TeamId& team,
                                    Fingerprint body,
                                    const ServerId& server) {
  const BodyKey key{team, body};
  Shard& shard = ShardOf(key);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.bodies.find(key);
  if (it == shard.bodies.end() || it->second.quarantined) {
    return;
  }
  Evidence& evidence = it->second;
  bool only_body_in_flight = false;
  for (const Crash& crash : evidence.crashes) {
    if (crash.server == server) {
      return;
    }
    only_body_in_flight = only_body_in_flight || crash.only_body_in_flight;
  }
  if (!only_body_in_flight) {
    shard.bodies.erase(it);
    return;
  }
  if (evidence.successes.size() < kMinSuccessfulServers) {
    evidence.successes.insert(server);
  }
  evidence.cleared = evidence.successes.size() >= kMinSuccessfulServers;
}

void CrashQuarantine::Merge(const QuarantineEntry& entry) {
  // Instances would keep sending an entry that is about to expire to each
  // other.
  if (entry.expires_in < 2 * config::kDigestPeriod) {
    return;
  }
  const BodyKey key{entry.team, entry.fingerprint};
  const TimePoint now = m_timers->Now();
  Shard& shard = ShardOf(key);
  std::lock_guard lock(shard.mutex);
  Evidence& evidence = FindOrAddEvidence(shard, key, now);
  // The expiry of a known entry is kept: `expires_in` ignores transmission
  // time, so the entry would be prolonged each time it is received back.
  if (!evidence.quarantined) {
    evidence.quarantined = true;
    evidence.expires = now + BoundedExpiry(entry.expires_in);
  }
}

std::vector<QuarantineEntry> CrashQuarantine::Entries() const {
  const TimePoint now = m_timers->Now();
  std::vector<QuarantineEntry> entries;
  for (const Shard& shard : m_shards) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [key, evidence] : shard.bodies) {
      if (evidence.quarantined && evidence.expires > now) {
        entries.push_back({key.team, key.fingerprint, evidence.expires - now});
      }
    }
  }
  return entries;
}

void CrashQuarantine::SetOnAdded(std::function<void(QuarantineEntry)> hook) {
  std::lock_guard lock(m_hook_mutex);
  m_on_added = std::move(hook);
}

CrashQuarantine::Evidence& CrashQuarantine::FindOrAddEvidence(
    Shard& shard,
    const BodyKey& key,
    TimePoint now) {
  auto it = shard.bodies.find(key);
  if (it == shard.bodies.end()) {
    EvictIfFull(shard, now);
    it = shard.bodies.try_emplace(key).first;
  } else if (it->second.expires <= now) {
    it->second = {};
  }
  return it->second;
}

// Evicts the bodies that expire first, suspects before quarantined ones. Evicts
// an eighth of a full shard at once, so that many new bodies do not cause a
// selection over the shard each.
void CrashQuarantine::EvictIfFull(Shard& shard, TimePoint now) {
  constexpr size_t kMaxBodies =
      config::kMaxSuspectBodies / config::kStateShards;
  constexpr size_t kEvicted = kMaxBodies / 8;
  if (shard.bodies.size() < kMaxBodies) {
    return;
  }
  using Candidate = std::tuple<bool, TimePoint, BodyKey>;
  std::vector<Candidate> candidates;
  candidates.reserve(shard.bodies.size());
  for (const auto& [key, evidence] : shard.bodies) {
    const bool unexpired = evidence.expires > now;
    candidates.emplace_back(unexpired && evidence.quarantined, evidence.expires,
                            key);
  }
  std::nth_element(candidates.begin(), candidates.begin() + kEvicted,
                   candidates.end());
  for (size_t i = 0; i < kEvicted; ++i) {
    shard.bodies.erase(std::get<BodyKey>(candidates[i]));
  }
}

bool MergeEntries(Quarantine* quarantine,
                  const std::vector<QuarantineEntry>& entries) {
  bool added = false;
  for (const QuarantineEntry& entry : entries) {
    const auto quarantined = [&] {
      return quarantine->Check(entry.team, entry.fingerprint) ==
             QuarantineStatus::kQuarantined;
    };
    const bool known = quarantined();
    quarantine->Merge(entry);
    added |= !known && quarantined();
  }
  return added;
}

}  // namespace wasabihook
