#include "gateway/request_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace wasabihook::gateway {
namespace {

uint32_t Hash32(std::string_view text) {
  return XXH32(text.data(), text.size(), 0);
}

}  // namespace

ServiceKey MakeServiceKey(std::string_view service) {
  return ServiceKey(Hash32(service));
}

CallerAttemptKey MakeCallerAttemptKey(std::string_view request_id) {
  return CallerAttemptKey(Hash32(request_id));
}

size_t RequestQuarantine::SlotOf(Fingerprint fingerprint,
                                 ServiceKey service) const {
  return (fingerprint.value() ^ service.value()) % kRecentRequests;
}

QuarantineStatus RequestQuarantine::Check(Fingerprint fingerprint,
                                          TimePoint now) const {
  if (TimeLeft(fingerprint, now) > Duration(0))
    return QuarantineStatus::kQuarantined;
  const auto suspect = m_suspects.find(fingerprint);
  return suspect != m_suspects.end() && !suspect->second.crashes.empty()
             ? QuarantineStatus::kSuspect
             : QuarantineStatus::kNone;
}

std::optional<TimePoint> RequestQuarantine::LastCrash(
    Fingerprint fingerprint) const {
  const auto suspect = m_suspects.find(fingerprint);
  if (suspect == m_suspects.end() || suspect->second.crashes.empty())
    return std::nullopt;
  return suspect->second.last_crash;
}

bool RequestQuarantine::HasSurvived(Fingerprint fingerprint,
                                    ServiceKey service,
                                    TimePoint since) const {
  // Answers that other instances got, or this one.
  if (const auto suspect = m_suspects.find(fingerprint);
      suspect != m_suspects.end() &&
      std::any_of(suspect->second.survivals.begin(),
                  suspect->second.survivals.end(),
                  [since](const Survival& survival) {
                    return survival.report.at >= since;
                  }))
    return true;
  const RecentAnswers& recent = m_recent_answers[SlotOf(fingerprint, service)];
  return recent.fingerprint == fingerprint && recent.service == service &&
         recent.answers.back().at >= since;
}

Duration RequestQuarantine::TimeLeft(Fingerprint fingerprint,
                                     TimePoint now) const {
  const auto found = m_quarantined.find(fingerprint);
  return found == m_quarantined.end() || found->second <= now
             ? Duration(0)
             : found->second - now;
}

void RequestQuarantine::OnLoss(const CrashReport& loss, TimePoint sent_at) {
  if (const auto ended = m_ended.find(loss.server);
      ended != m_ended.end() && sent_at <= ended->second) {
    AddCrash(loss, loss.at);
    return;
  }
  if (m_losses.size() >= kMaxUnconfirmedLosses)
    m_losses.erase(m_losses.begin());
  m_losses.push_back(loss);
}

void RequestQuarantine::OnServerEnded(ServerKey server, TimePoint now) {
  if (m_ended.size() < kMaxUnconfirmedLosses || m_ended.contains(server))
    m_ended[server] = now;
  std::vector<CrashReport> confirmed;
  std::erase_if(m_losses, [&](const CrashReport& loss) {
    if (loss.server != server)
      return false;
    if (now - loss.at < kCrashConfirmationTime)
      confirmed.push_back(loss);
    return true;
  });
  for (const CrashReport& loss : confirmed)
    AddCrash(loss, now);
}

void RequestQuarantine::OnServerAlive(ServerKey server, TimePoint sent_at) {
  if (const auto ended = m_ended.find(server);
      ended != m_ended.end() && ended->second < sent_at)
    m_ended.erase(ended);
  std::erase_if(m_losses, [&](const CrashReport& loss) {
    return loss.server == server && loss.at < sent_at;
  });
}

void RequestQuarantine::OnSurvival(const SurvivalReport& survival) {
  RecentAnswers& recent =
      m_recent_answers[SlotOf(survival.fingerprint, survival.service)];
  if (recent.fingerprint != survival.fingerprint ||
      recent.service != survival.service)
    recent = {.fingerprint = survival.fingerprint, .service = survival.service};
  std::rotate(recent.answers.begin(), recent.answers.begin() + 1,
              recent.answers.end());
  recent.answers.back() = survival;
  if (m_suspects.empty())
    return;
  const auto found = m_suspects.find(survival.fingerprint);
  if (found == m_suspects.end())
    return;
  Suspect& suspect = found->second;
  // A popular request is answered all the time; only answers that count against
  // a crash are worth recording.
  const bool has_crash = std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash& crash) {
        return crash.report.service == survival.service;
      });
  if (has_crash && RecordSurvival(suspect, survival, survival.at))
    ReportClearance(survival, ClearOutweighed(suspect, survival.service));
}

// A request that crashes only a part of its runs is answered in between, while
// a bystander of crashes is answered nearly always.
size_t RequestQuarantine::ClearOutweighed(Suspect& suspect,
                                          ServiceKey service) {
  std::optional<TimePoint> first_crash;
  size_t crashes = 0;
  for (const Crash& crash : suspect.crashes) {
    if (crash.report.service != service)
      continue;
    ++crashes;
    first_crash =
        std::min(first_crash.value_or(crash.report.at), crash.report.at);
  }
  if (!first_crash)
    return 0;
  size_t answers = 0;
  TimePoint last_answer;
  for (const Survival& survival : suspect.survivals) {
    if (survival.report.service != service || survival.report.at < *first_crash)
      continue;
    ++answers;
    last_answer = std::max(last_answer, survival.report.at);
  }
  if (answers < kAnswersPerCrash * crashes)
    return 0;
  return std::erase_if(suspect.crashes, [&](const Crash& crash) {
    return crash.report.service == service && crash.report.at <= last_answer;
  });
}

void RequestQuarantine::ReportClearance(const SurvivalReport& last_answer,
                                        size_t crashes) {
  if (crashes > 0 && m_clearance_hook)
    m_clearance_hook({.fingerprint = last_answer.fingerprint,
                      .crashes = crashes,
                      .last_answer_at = last_answer.at});
}

bool RequestQuarantine::RecordSurvival(Suspect& suspect,
                                       const SurvivalReport& survival,
                                       TimePoint now) {
  const bool known = std::any_of(
      suspect.survivals.begin(), suspect.survivals.end(),
      [&](const Survival& other) {
        return other.report.service == survival.service &&
               other.report.caller_attempt == survival.caller_attempt;
      });
  if (known)
    return false;
  if (suspect.survivals.size() >= kMaxSurvivalsKept)
    suspect.survivals.erase(suspect.survivals.begin());
  suspect.survivals.push_back({.report = survival, .known_at = now});
  return true;
}

void RequestQuarantine::AddCrash(const CrashReport& crash, TimePoint now) {
  Suspect& suspect = FindOrAddSuspect(crash.fingerprint);
  suspect.last_crash = std::max(suspect.last_crash, crash.at);
  // Answers that were given before the crash became known here.
  const RecentAnswers& recent =
      m_recent_answers[SlotOf(crash.fingerprint, crash.service)];
  if (recent.fingerprint == crash.fingerprint &&
      recent.service == crash.service) {
    for (const SurvivalReport& answer : recent.answers) {
      if (answer.at >= crash.at)
        RecordSurvival(suspect, answer, now);
    }
  }
  const auto is_known = [&] {
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                       [&](const Crash& other) {
                         return other.report.server == crash.server;
                       });
  };
  if (crash.at <= suspect.released_at || is_known() ||
      !MakeRoom(suspect, crash))
    return;
  suspect.crashes.push_back({.report = crash, .known_at = now});
  ClearOutweighed(suspect, crash.service);
  if (!is_known())
    return;
  if (m_news_hook)
    m_news_hook();
  Judge(crash.fingerprint, suspect, now);
}

// One attempt of a caller may crash a server of each shard. A few of these
// crashes are kept, so that they leave room for those of other attempts. A full
// record gives up its latest crash for a later one, so that its span grows.
bool RequestQuarantine::MakeRoom(Suspect& suspect, const CrashReport& crash) {
  std::vector<Crash>& crashes = suspect.crashes;
  const auto of_attempt =
      std::count_if(crashes.begin(), crashes.end(), [&](const Crash& other) {
        return other.report.caller_attempt == crash.caller_attempt;
      });
  if (static_cast<size_t>(of_attempt) >= kMaxCrashesKeptOfAttempt)
    return false;
  if (crashes.size() < kMaxCrashesKept)
    return true;
  const auto latest = std::max_element(
      crashes.begin(), crashes.end(),
      [](const Crash& a, const Crash& b) { return a.report.at < b.report.at; });
  if (crash.at <= latest->report.at)
    return false;
  crashes.erase(latest);
  return true;
}

// Several servers that end at the same moment have one cause, such as a lost
// rack, and one attempt of a caller that is retried or scattered may be in
// flight at all of them. So the attempts have to differ and the crashes have to
// be spread over time.
void RequestQuarantine::Judge(Fingerprint fingerprint,
                              const Suspect& suspect,
                              TimePoint now) {
  if (TimeLeft(fingerprint, now) > Duration(0))
    return;
  std::set<CallerAttemptKey> attempts;
  const auto by_time = [](const Crash& a, const Crash& b) {
    return a.report.at < b.report.at;
  };
  const auto [first, last] = std::minmax_element(
      suspect.crashes.begin(), suspect.crashes.end(), by_time);
  for (const Crash& crash : suspect.crashes)
    attempts.insert(crash.report.caller_attempt);
  const Duration span = last->report.at - first->report.at;
  if (suspect.crashes.size() < kMinCrashedServers ||
      attempts.size() < kMinCrashingAttempts || span < kMinCrashSpan)
    return;
  const TimePoint expires = now + config::kQuarantineExpiry;
  Add(fingerprint, expires);
  m_on_verdict({.fingerprint = fingerprint,
                .servers = suspect.crashes.size(),
                .caller_attempts = attempts.size(),
                .span = span,
                .age = now - last->report.at,
                .expires = expires});
}

void RequestQuarantine::Add(Fingerprint fingerprint, TimePoint expires) {
  if (m_quarantined.size() >= kMaxQuarantinedRequests &&
      !m_quarantined.contains(fingerprint)) {
    // The one that ends first makes room.
    m_quarantined.erase(std::min_element(
        m_quarantined.begin(), m_quarantined.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  m_quarantined.emplace(fingerprint, expires);
}

void RequestQuarantine::Release(Fingerprint fingerprint, TimePoint now) {
  m_quarantined.erase(fingerprint);
  Suspect& suspect = FindOrAddSuspect(fingerprint);
  suspect.crashes.clear();
  suspect.released_at = now;
  suspect.last_crash = now;
}

RequestQuarantine::Suspect& RequestQuarantine::FindOrAddSuspect(
    Fingerprint fingerprint) {
  if (!m_suspects.contains(fingerprint) &&
      m_suspects.size() >= kMaxSuspectRequests)
    EvictSuspect();
  return m_suspects[fingerprint];
}

// Evicts the suspect with the fewest crashes, of these the one whose last crash
// is the oldest.
void RequestQuarantine::EvictSuspect() {
  const auto weakest = std::min_element(
      m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.crashes.size(), a.second.last_crash) <
               std::pair(b.second.crashes.size(), b.second.last_crash);
      });
  if (weakest != m_suspects.end())
    m_suspects.erase(weakest);
}

void RequestQuarantine::Merge(const CrashNews& news, TimePoint now) {
  // Answers come first, so that crashes which they outweigh are not judged.
  for (const CrashReport& crash : news.crashes) {
    Suspect& suspect = FindOrAddSuspect(crash.fingerprint);
    suspect.last_crash = std::max(suspect.last_crash, crash.at);
  }
  for (const SurvivalReport& survival : news.survivals) {
    const auto found = m_suspects.find(survival.fingerprint);
    if (found != m_suspects.end() &&
        RecordSurvival(found->second, survival, now))
      ReportClearance(survival,
                      ClearOutweighed(found->second, survival.service));
  }
  for (const CrashReport& crash : news.crashes)
    AddCrash(crash, now);
}

// After the loss of many servers there are many suspects, nearly all of them
// bystanders. Those with the most crashes are sent.
CrashNews RequestQuarantine::NewsSince(TimePoint since) const {
  using Candidate = std::pair<size_t, const Suspect*>;
  std::vector<Candidate> candidates;
  for (const auto& [fingerprint, suspect] : m_suspects) {
    const auto is_new = [since](const auto& entry) {
      return entry.known_at > since;
    };
    if (std::any_of(suspect.crashes.begin(), suspect.crashes.end(), is_new) ||
        std::any_of(suspect.survivals.begin(), suspect.survivals.end(), is_new))
      candidates.emplace_back(suspect.crashes.size(), &suspect);
  }
  if (candidates.size() > kMaxSuspectsInMessage) {
    const auto end = candidates.begin() + kMaxSuspectsInMessage;
    std::nth_element(candidates.begin(), end, candidates.end(),
                     [](const Candidate& a, const Candidate& b) {
                       return a.first > b.first;
                     });
    candidates.erase(end, candidates.end());
  }
  CrashNews out;
  for (const auto& [crash_count, suspect] : candidates) {
    for (const Crash& crash : suspect->crashes) {
      if (crash.known_at > since)
        out.crashes.push_back(crash.report);
    }
    for (const Survival& survival : suspect->survivals) {
      if (survival.known_at > since)
        out.survivals.push_back(survival.report);
    }
  }
  return out;
}

void RequestQuarantine::Sweep(TimePoint now) {
  std::erase_if(m_quarantined,
                [now](const auto& entry) { return entry.second <= now; });
  std::erase_if(m_suspects, [now](const auto& entry) {
    return now - entry.second.last_crash > kCrashEvidenceExpiry;
  });
  std::erase_if(m_losses, [now](const CrashReport& loss) {
    return now - loss.at > kCrashConfirmationTime;
  });
  std::erase_if(m_ended, [now](const auto& entry) {
    return now - entry.second > kCrashConfirmationTime;
  });
}

}  // namespace wasabihook::gateway
