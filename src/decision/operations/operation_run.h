#ifndef SRC_DECISION_OPERATIONS_OPERATION_RUN_H_
#define SRC_DECISION_OPERATIONS_OPERATION_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/query/request_run.h"

namespace wasabihook {

// State machine of one operation: claims it, dispatches it to one server and
// records the outcome. It is dispatched to another server only if the previous
// one certainly did not run it. Once dispatched it continues after the reply or
// a disconnect of the caller, so that the outcome is recorded.
class OperationRun : public RequestRun {
 public:
  OperationRun(EngineContext* context, RunInput input);

  bool OnReply(const Attempt& attempt,
               SubReply reply,
               TimePoint now,
               Actions& actions) override;
  void OnWake(TimePoint now, Actions& actions) override;
  bool OnCapacity(uint64_t ticket, TimePoint now, Actions& actions) override;
  void OnClaim(ClaimResult result, TimePoint now, Actions& actions) override;
  void OnCancel(Actions& actions) override;
  TimePoint NextWake() const override;

 protected:
  void Start(TimePoint now, Actions& actions) override;

 private:
  enum class State : uint8_t {
    kQueued,      // Waiting for admission.
    kClaiming,    // Waiting for the claim store.
    kNoCapacity,  // Holds the claim; no server has capacity.
    kBackingOff,  // Holds the claim; the last server did not run it.
    kDispatched,  // Waiting for the reply of a server.
  };

  const ShardGroup& group() const { return m_snapshot->groups[m_group]; }
  ClaimKey MakeClaimKey() const;

  void Dispatch(TimePoint now, Actions& actions);
  void WaitForCapacity(TimePoint now);
  void StopWaiting();
  void Retry(const SubReply& reply, TimePoint now, Actions& actions);
  void Succeed(SubReply reply, TimePoint now, Actions& actions);
  void EndWithUnknownOutcome(SubOutcome outcome,
                             TimePoint now,
                             Actions& actions);
  // Records that the operation did not run, so that a re-send may run.
  void EndAsNotRun(ErrorCode code,
                   std::string message,
                   TimePoint now,
                   Actions& actions);
  void Replay(const OperationOutcome& outcome, TimePoint now, Actions& actions);
  void Refuse(ErrorCode code,
              RunState run_state,
              std::string message,
              TimePoint now,
              Actions& actions);
  void ReplyAnswer(std::vector<std::string> rows,
                   SnapshotId snapshot,
                   bool replayed,
                   TimePoint now,
                   Actions& actions);
  void ReplyError(ErrorCode code,
                  RunState run_state,
                  std::string message,
                  TimePoint now,
                  Actions& actions);
  void Record(OperationOutcome outcome, Actions& actions);

  State m_state = State::kQueued;
  SnapshotPtr m_snapshot;
  size_t m_group = 0;
  std::string m_nonce;
  std::optional<SubRequestId> m_outstanding;
  std::vector<ServerId> m_refusing_servers;
  std::optional<uint64_t> m_capacity_ticket;
  std::optional<TimePoint> m_wake_at;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_OPERATIONS_OPERATION_RUN_H_
