#ifndef SRC_DECISION_QUERY_REQUEST_RUN_H_
#define SRC_DECISION_QUERY_REQUEST_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision/query/attempt.h"
#include "decision/query/engine_context.h"
#include "decision/routing/admission_controller.h"
#include "wasabihook/claim_store.h"
#include "wasabihook/request.h"
#include "wasabihook/settings.h"

namespace wasabihook {

struct SendAction {
  AttemptPtr attempt;
  SubRequest request;
};

struct ClaimAction {
  ClaimKey key;
  Fingerprint fingerprint;
  TimePoint deadline;
};

struct RecordOutcomeAction {
  ClaimKey key;
  std::string nonce;
  OperationOutcome outcome;
};

struct FinishAction {
  Reply reply;
  RequestOutcome outcome;
};

// Actions that a state machine requests. They run in this order, after the lock
// of its shard is released.
struct Actions {
  std::optional<RecordOutcomeAction> record;
  std::vector<AttemptPtr> cancels;
  std::vector<SendAction> sends;
  std::optional<ClaimAction> claim;
  std::optional<FinishAction> finish;
  // The request has ended and is removed from its shard.
  bool remove = false;
};

// Inputs of a state machine, fixed at submission.
struct RunInput {
  QueryHandle handle;
  CallerRequest request;
  TeamSettingsPtr settings;
  Fingerprint fingerprint;
  TimePoint submitted;
  TimePoint deadline;
};

// State machine of one request. Its methods are called under the lock of its
// shard, and call only components that do their own locking and never call
// back. No method is called after `Actions::remove` is set.
class RequestRun {
 public:
  RequestRun(EngineContext* context, RunInput input);
  virtual ~RequestRun() = default;
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void OnAdmission(AdmissionResult result, TimePoint now, Actions& actions);
  // Returns false if the request no longer uses the reply.
  virtual bool OnReply(const Attempt& attempt,
                       SubReply reply,
                       TimePoint now,
                       Actions& actions) = 0;
  // Called at the time that NextWake() returned, or earlier.
  virtual void OnWake(TimePoint now, Actions& actions) = 0;
  // Called when a server that `ticket` waits for has free capacity. Returns
  // false if the request does not wait with `ticket` or sent nothing.
  virtual bool OnCapacity(uint64_t ticket, TimePoint now, Actions& actions) = 0;
  virtual void OnClaim(ClaimResult /*result*/,
                       TimePoint /*now*/,
                       Actions& /*actions*/) {}
  // Called when the caller cancels or disconnects.
  virtual void OnCancel(Actions& actions) = 0;
  virtual TimePoint NextWake() const = 0;

  const RunInput& input() const { return m_input; }
  // When the request was admitted; empty if it was not.
  std::optional<TimePoint> admitted_at() const { return m_admitted_at; }
  // True if a server refused a sub-request as overloaded, or no server of a
  // group had capacity.
  bool saw_overload() const { return m_saw_overload; }

 protected:
  // Called once, when the request is admitted before its deadline.
  virtual void Start(TimePoint now, Actions& actions) = 0;

  // Acquires a replica of `group` and adds a send to `actions`. Returns null if
  // no replica has capacity.
  AttemptPtr Send(const IndexSetSnapshot& snapshot,
                  const ShardGroup& group,
                  const std::vector<ServerId>& excluded,
                  TimePoint now,
                  Actions& actions);
  void FinishAnswer(Answer answer,
                    Fraction coverage,
                    TimePoint now,
                    Actions& actions);
  void FinishError(ErrorCode code,
                   RunState run_state,
                   std::string message,
                   TimePoint now,
                   Actions& actions);
  // Returns the snapshot in the current settings, or null if there is none or
  // it has no groups.
  SnapshotPtr CurrentSnapshot() const;
  QuarantineStatus CheckQuarantine() const;
  // Returns a random back-off delay before attempt number `attempts` + 1.
  Duration RetryDelay(uint32_t attempts) const;

  EngineContext* const m_context;
  const RunInput m_input;
  std::optional<TimePoint> m_admitted_at;
  bool m_saw_overload = false;
  // The caller got its reply or cancelled.
  bool m_replied = false;
  uint32_t m_sub_requests_sent = 0;
  uint32_t m_sub_requests_needed = 0;
  std::vector<ShardGroupId> m_missing_groups;
  std::optional<ServerId> m_slowest_server;

 private:
  SendAction MakeSend(const IndexSetSnapshot& snapshot,
                      const ShardGroup& group,
                      const ServerId& server,
                      TimePoint now);
  RequestOutcome MakeOutcome(TimePoint now) const;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_REQUEST_RUN_H_
