#ifndef SRC_DECISION_QUERY_QUERY_TIER_CORE_H_
#define SRC_DECISION_QUERY_QUERY_TIER_CORE_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "decision/query/engine_context.h"
#include "decision/query/request_run.h"
#include "wasabihook/config.h"
#include "wasabihook/query_tier.h"

namespace wasabihook {

// Runs the state machines of all requests in flight. Requests are sharded by
// handle, and each shard has its own lock. An event is passed to the state
// machine under the lock; the resulting actions run after the lock is released.
// Callbacks passed to collaborators hold a weak pointer, so a callback after
// the destruction of the tier has no effect.
class QueryTierCore : public std::enable_shared_from_this<QueryTierCore> {
 public:
  explicit QueryTierCore(QueryTierDeps deps);

  QueryHandle Submit(CallerRequest request, ReplyCallback done);
  void Cancel(QueryHandle handle);
  void Drain(std::function<void()> drained);
  size_t in_flight() const { return m_active.load(); }
  DroppedReplies dropped_replies() const;

 private:
  struct Entry {
    std::unique_ptr<RequestRun> run;
    ReplyCallback done;
    TimerHandle timer;
    std::optional<TimePoint> armed_for;
    // Submit() has not returned yet, so a reply must be deferred.
    bool in_submit = true;
  };
  // A reply that was produced within Submit() and is delivered by a timer.
  struct DeferredReply {
    FinishAction finish;
    ReplyCallback done;
  };
  struct Shard {
    std::mutex mutex;
    std::unordered_map<QueryHandle, Entry> entries;
    std::unordered_map<QueryHandle, DeferredReply> pending;
  };
  // Work to do after the lock of the shard is released.
  struct Effects {
    QueryHandle handle;
    Actions actions;
    ReplyCallback done;
    bool defer_reply = false;
    std::optional<TimePoint> arm;
    TimerHandle expired_timer;
    // State machine of a request that ended, removed from its shard.
    std::unique_ptr<RequestRun> removed;
  };
  using Event = std::function<bool(RequestRun&, TimePoint, Actions&)>;

  Shard& ShardOf(QueryHandle handle);

  // Submission.
  std::optional<FinishAction> CheckRequest(const CallerRequest& request) const;
  RunInput MakeInput(QueryHandle handle, CallerRequest request) const;
  void Insert(RunInput input, ReplyCallback done);
  void RequestAdmission(QueryHandle handle, const RunInput& input);

  // Events. Dispatch() returns false if the request has ended or the event did
  // not apply to it.
  bool Dispatch(QueryHandle handle, const Event& event);
  void OnTimer(QueryHandle handle, TimePoint armed_for);
  void OnTransportReply(const AttemptPtr& attempt, SubReply reply);
  SubReply ValidateReply(const Attempt& attempt, SubReply reply);
  void ProcessReplyFeedback(const Attempt& attempt, const SubReply& reply);
  void WakeWaiters(const ServerId& server);

  // Actions.
  void RunActions(Effects effects);
  void SendSubRequest(SendAction action);
  void CancelSubRequest(Attempt& attempt);
  void RequestClaim(QueryHandle handle, ClaimAction action);
  void ArmTimer(QueryHandle handle, TimePoint at);
  void Finish(Effects& effects);
  void DeferReply(QueryHandle handle, FinishAction finish, ReplyCallback done);
  void DeliverDeferredReply(QueryHandle handle);
  void DeliverReply(FinishAction finish, const ReplyCallback& done);
  void ReleaseAdmission(const RequestRun& run);
  void OnRequestEnded();
  void NotifyDrained();

  EngineContext m_context;
  std::atomic<uint64_t> m_next_handle{1};
  // Number of requests in flight and deferred replies.
  std::atomic<size_t> m_active{0};
  std::array<Shard, config::kStateShards> m_shards;

  std::atomic<bool> m_draining{false};
  std::mutex m_drain_mutex;
  std::vector<std::function<void()>> m_drain_callbacks;

  std::atomic<uint64_t> m_late_replies{0};
  std::atomic<uint64_t> m_duplicate_replies{0};
  std::atomic<uint64_t> m_foreign_replies{0};
  std::atomic<uint64_t> m_invalid_replies{0};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_QUERY_TIER_CORE_H_
