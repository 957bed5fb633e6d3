#ifndef SRC_GATEWAY_REQUEST_QUARANTINE_H_
#define SRC_GATEWAY_REQUEST_QUARANTINE_H_

// PRIVATE HEADER. Pattern: a request that crashes each server that runs it.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/server_observations.h"
#include "wasabihook/ids.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/units.h"

namespace wasabihook::gateway {

// Hash of the name of a service, for messages between instances.
using ServiceKey = StrongId<struct ServiceKeyTag, uint32_t>;
ServiceKey MakeServiceKey(std::string_view service);

// Hash of the id of one attempt of a caller.
using CallerAttemptKey = StrongId<struct CallerAttemptKeyTag, uint32_t>;
CallerAttemptKey MakeCallerAttemptKey(std::string_view request_id);

// A request was in flight at a server when the server ended.
struct CrashReport {
  Fingerprint fingerprint;
  ServiceKey service;
  ServerKey server;
  CallerAttemptKey caller_attempt;
  TimePoint at;
};

// A server of `service` answered a request, so it survived running it.
struct SurvivalReport {
  Fingerprint fingerprint;
  ServiceKey service;
  CallerAttemptKey caller_attempt;
  TimePoint at;
};

struct CrashNews {
  std::vector<CrashReport> crashes;
  std::vector<SurvivalReport> survivals;
  bool empty() const { return crashes.empty() && survivals.empty(); }
};

// Why a request is quarantined.
struct QuarantineVerdict {
  Fingerprint fingerprint;
  size_t servers = 0;
  size_t caller_attempts = 0;
  // Time from the first to the last crash, and since the last.
  Duration span{0};
  Duration age{0};
  TimePoint expires;
};

// Answers outweighed the crashes of a service.
struct QuarantineClearance {
  Fingerprint fingerprint;
  size_t crashes = 0;
  TimePoint last_answer_at;
};

// Decides which requests are no longer sent to servers, from the crashes that
// this instance and others saw. docs/decisions/request-quarantine.md explains
// the rules. All memory is bounded.
class RequestQuarantine {
 public:
  // `on_verdict` is called when the evidence becomes conclusive here.
  explicit RequestQuarantine(
      std::function<void(const QuarantineVerdict&)> on_verdict)
      : m_on_verdict(std::move(on_verdict)) {}

  QuarantineStatus Check(Fingerprint fingerprint, TimePoint now) const;
  // Time left for a quarantined request, otherwise 0.
  Duration TimeLeft(Fingerprint fingerprint, TimePoint now) const;
  // Time of the last crash that counts against the request.
  std::optional<TimePoint> LastCrash(Fingerprint fingerprint) const;
  // A server of `service` answered the request here since `since`, or one of a
  // service that it has crashed, at any instance.
  bool HasSurvived(Fingerprint fingerprint,
                   ServiceKey service,
                   TimePoint since) const;
  size_t quarantined() const { return m_quarantined.size(); }
  size_t suspects() const { return m_suspects.size(); }

  // --- What this instance sees ---
  // The connection ended under a request that was sent at `sent_at`. Counts as
  // a crash once the end of the server is confirmed; a connection may also end
  // alone.
  void OnLoss(const CrashReport& loss, TimePoint sent_at);
  void OnServerEnded(ServerKey server, TimePoint now);
  // The server answered a request that was sent at `sent_at`: it has not ended
  // before.
  void OnServerAlive(ServerKey server, TimePoint sent_at);
  void OnSurvival(const SurvivalReport& survival);

  // --- What others know ---
  void Merge(const CrashNews& news, TimePoint now);
  // What became known here after `since`.
  CrashNews NewsSince(TimePoint since) const;
  CrashNews AllNews() const { return NewsSince(TimePoint()); }
  // The store lists the request as quarantined until `expires`.
  void Add(Fingerprint fingerprint, TimePoint expires);
  // The quarantine of the request ends; its crashes stay on record.
  void Remove(Fingerprint fingerprint) { m_quarantined.erase(fingerprint); }
  // An operator releases the request: crashes until now no longer count.
  void Release(Fingerprint fingerprint, TimePoint now);

  // `hook` runs when a crash becomes known here.
  void SetNewsHook(std::function<void()> hook) {
    m_news_hook = std::move(hook);
  }

  // `hook` runs when crashes are forgotten because of answers.
  void SetClearanceHook(std::function<void(const QuarantineClearance&)> hook) {
    m_clearance_hook = std::move(hook);
  }

  // Forgets what has expired. Called periodically.
  void Sweep(TimePoint now);

 private:
  struct Crash {
    CrashReport report;
    TimePoint known_at;
  };
  struct Survival {
    SurvivalReport report;
    TimePoint known_at;
  };
  struct Suspect {
    std::vector<Crash> crashes;
    std::vector<Survival> survivals;
    TimePoint released_at;
    TimePoint last_crash;
  };
  // The last answers to a request, newest last; as many as outweigh a crash.
  struct RecentAnswers {
    Fingerprint fingerprint;
    ServiceKey service;
    std::array<SurvivalReport, kAnswersPerCrash> answers{};
  };
  // Direct-mapped, so that its size is fixed.
  static constexpr size_t kRecentRequests = 4096;

  void AddCrash(const CrashReport& crash, TimePoint now);
  // False if `crash` adds nothing to the record.
  static bool MakeRoom(Suspect& suspect, const CrashReport& crash);
  // Forgets the crashes of `service` if answers outweigh them; returns their
  // number.
  static size_t ClearOutweighed(Suspect& suspect, ServiceKey service);
  void ReportClearance(const SurvivalReport& last_answer, size_t crashes);
  // False if the survival is known.
  static bool RecordSurvival(Suspect& suspect,
                             const SurvivalReport& survival,
                             TimePoint now);
  void Judge(Fingerprint fingerprint, const Suspect& suspect, TimePoint now);
  Suspect& FindOrAddSuspect(Fingerprint fingerprint);
  void EvictSuspect();
  size_t SlotOf(Fingerprint fingerprint, ServiceKey service) const;

  const std::function<void(const QuarantineVerdict&)> m_on_verdict;
  std::function<void()> m_news_hook;
  std::function<void(const QuarantineClearance&)> m_clearance_hook;
  std::unordered_map<Fingerprint, Suspect> m_suspects;
  std::unordered_map<Fingerprint, TimePoint> m_quarantined;
  // Losses on servers whose end is not confirmed, and servers that ended.
  std::vector<CrashReport> m_losses;
  std::unordered_map<ServerKey, TimePoint> m_ended;
  std::array<RecentAnswers, kRecentRequests> m_recent_answers{};
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_REQUEST_QUARANTINE_H_
