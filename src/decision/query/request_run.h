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

struct RecordAction {
  ClaimKey key;
  std::string nonce;
  OperationOutcome outcome;
};

struct FinishAction {
  Reply reply;
  RequestOutcome outcome;
};

// What a state machine wants done once its lock is released, in this order.
struct Actions {
  std::optional<RecordAction> record;
  std::vector<AttemptPtr> cancels;
  std::vector<SendAction> sends;
  std::optional<ClaimAction> claim;
  std::optional<FinishAction> finish;
  // The run is over and leaves its shard.
  bool remove = false;
};

// What a run is started with.
struct RunInput {
  QueryHandle handle;
  CallerRequest request;
  TeamSettingsPtr settings;
  Fingerprint fingerprint;
  TimePoint submitted;
  TimePoint deadline;
};

// State machine of one request. Its methods run under the lock of the query
// shard and call only tables that lock themselves and never call back. After
// `Actions::remove` no method is called any more.
class RequestRun {
 public:
  RequestRun(EngineContext* context, RunInput input);
  virtual ~RequestRun() = default;
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  void OnAdmission(AdmissionResult result, TimePoint now, Actions& actions);
  // False if the reply is of no use to the run any more.
  virtual bool OnReply(const Attempt& attempt,
                       SubReply reply,
                       TimePoint now,
                       Actions& actions) = 0;
  // A time returned by NextWake() has come; may also be called early.
  virtual void OnWake(TimePoint now, Actions& actions) = 0;
  // A server became free. False if the run does not wait with `ticket`.
  virtual bool OnCapacity(uint64_t ticket, TimePoint now, Actions& actions) = 0;
  virtual void OnClaim(ClaimResult /*result*/,
                       TimePoint /*now*/,
                       Actions& /*actions*/) {}
  // The caller went away.
  virtual void OnCancel(Actions& actions) = 0;
  virtual TimePoint NextWake() const = 0;

  const RunInput& input() const { return m_input; }
  // When admission ended; empty if it did not.
  std::optional<TimePoint> admitted_at() const { return m_admitted_at; }
  // True if a server refused for overload or none could take the work.
  bool saw_overload() const { return m_saw_overload; }

 protected:
  // The request was admitted: start the work.
  virtual void Start(TimePoint now, Actions& actions) = 0;

  // Acquires a replica of `group` and sends to it; null if none can take work.
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
  // Pins the snapshot that the settings offer now; null if there is none.
  SnapshotPtr CurrentSnapshot() const;
  Suspicion CheckSuspicion() const;
  // Random delay before attempt number `attempts` + 1.
  Duration RetryDelay(uint32_t attempts) const;

  EngineContext* const m_context;
  const RunInput m_input;
  std::optional<TimePoint> m_admitted_at;
  bool m_saw_overload = false;
  // The caller has its reply or went away.
  bool m_replied = false;
  uint32_t m_sent = 0;
  uint32_t m_needed = 0;
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
