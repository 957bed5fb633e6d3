#ifndef SRC_DECISION_QUERY_QUERY_H_
#define SRC_DECISION_QUERY_QUERY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "decision/query/coverage_count.h"
#include "decision/query/finish_policy.h"
#include "decision/query/query_part.h"
#include "decision/query/request_run.h"
#include "decision/query/run_evidence.h"

namespace wasabihook {

// State machine of one search or fetch. Pins one snapshot, sends a sub-request
// to one replica of each shard group, hedges and retries within the retry
// budget, restarts all parts if it moves to a newer snapshot, and ends
// according to the team's coverage policy.
class Query : public RequestRun {
 public:
  Query(EngineContext* context, RunInput input);

  bool OnReply(const Attempt& attempt,
               SubReply reply,
               TimePoint now,
               Actions& actions) override;
  void OnWake(TimePoint now, Actions& actions) override;
  bool OnCapacity(uint64_t ticket, TimePoint now, Actions& actions) override;
  void OnCancel(Actions& actions) override;
  TimePoint NextWake() const override;

 protected:
  void Start(TimePoint now, Actions& actions) override;

 private:
  // Earliest first. An entry that differs from its part's `wake_at` is stale.
  using Wake = std::pair<TimePoint, size_t>;
  using WakeQueue =
      std::priority_queue<Wake, std::vector<Wake>, std::greater<>>;

  const ShardGroup& GroupOf(const QueryPart& part) const {
    return m_snapshot->groups[part.destination.group];
  }

  // Planning and fan-out.
  void StartEpoch(SnapshotPtr snapshot, TimePoint now, Actions& actions);
  void FanOut(TimePoint now, Actions& actions);
  void StartNextCanary(TimePoint now, Actions& actions);
  // Returns the status of all servers, or an empty list if the body is not
  // suspect. Called once per fan-out, because it lists every server.
  std::vector<ServerStatus> ServerStatusIfSuspect() const;
  // Returns true if the body is suspect and must not be sent to the group of
  // this part.
  bool MustSkipSuspect(size_t index,
                       const std::vector<ServerStatus>& status) const;
  void SkipPart(size_t index);

  // Attempts of one part.
  void NextAttempt(size_t index, TimePoint now, Actions& actions);
  bool SendAttempt(size_t index,
                   const std::vector<ServerId>& excluded,
                   TimePoint now,
                   Actions& actions);
  void Hedge(size_t index, TimePoint now, Actions& actions);
  void ScheduleHedge(size_t index, TimePoint now);
  void WaitForToken(size_t index, TimePoint now, Actions& actions);
  void WaitForCapacity(size_t index, TimePoint now);
  void StopWaiting(QueryPart& part);
  void WakePart(size_t index, TimePoint now, Actions& actions);
  void SetWake(size_t index, TimePoint at);

  // Replies of one part.
  void OnAttemptAnswered(size_t index,
                         const Attempt& attempt,
                         SubReply reply,
                         TimePoint now,
                         Actions& actions);
  void OnAttemptFailed(size_t index,
                       const Attempt& attempt,
                       const SubReply& reply,
                       TimePoint now,
                       Actions& actions);
  void ScheduleRetry(size_t index,
                     const SubReply& reply,
                     TimePoint now,
                     Actions& actions);
  void OnNoReplica(size_t index, TimePoint now, Actions& actions);
  void FailPart(size_t index, TimePoint now, Actions& actions);

  // Completion.
  void MaybeFinish(TimePoint now, Actions& actions);
  void CompleteWithAnswer(TimePoint now, Actions& actions);
  void CompleteWithError(TimePoint now, Actions& actions);
  ErrorCode FailureCode(TimePoint now) const;
  void CollectMissingGroups(TimePoint now);
  void UpdateSlowestServer(const Attempt& attempt, TimePoint now);
  void CancelOutstanding(Actions& actions);
  void CancelAndRemove(Actions& actions);

  bool IsSuspect();
  // Returns true if replies of other groups may still show that the body is
  // harmless.
  bool MayBeCleared() const;
  // Delays a part of a suspect request while its body may still be cleared;
  // fails it otherwise.
  void DelaySuspectPart(size_t index, TimePoint now, Actions& actions);
  TimePoint SoftDeadline() const;

  SnapshotPtr m_snapshot;
  uint32_t m_epoch = 0;
  uint32_t m_snapshot_restarts = 0;
  std::optional<TimePoint> m_snapshot_poll_end;

  std::vector<QueryPart> m_parts;
  WakeQueue m_wakes;
  CoverageCount m_coverage;
  size_t m_settled_parts = 0;
  // Parts below this index were started or skipped.
  size_t m_next_unsent = 0;
  bool m_fanned_out = false;
  bool m_soft_deadline_passed = false;

  // The body may crash servers: no hedges, no retries, and groups with a single
  // live server are skipped.
  bool m_suspect = false;
  bool m_skipped_suspect = false;
  bool m_no_replica = false;
  RunEvidence m_evidence;
  Duration m_slowest_latency{0};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_QUERY_H_
