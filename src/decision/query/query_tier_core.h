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

// Runs the state machines of all requests in flight, in shards by handle, each
// under its own lock. An event locks one shard, lets the state machine decide,
// unlocks and then runs the actions. Callbacks of collaborators hold a weak
// pointer, so one that comes after the tier is gone does nothing.
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
    // Submit() has not returned: a reply must wait for it.
    bool in_submit = true;
  };
  // A reply that is due but must not be given from within Submit().
  struct PendingReply {
    FinishAction finish;
    ReplyCallback done;
  };
  struct Shard {
    std::mutex mutex;
    std::unordered_map<QueryHandle, Entry> entries;
    std::unordered_map<QueryHandle, PendingReply> pending;
  };
  // What is left to do after the lock of a shard is released.
  struct Effects {
    QueryHandle handle;
    Actions actions;
    ReplyCallback done;
    bool defer_reply = false;
    std::optional<TimePoint> arm;
    TimerHandle expired_timer;
    // The run that left its shard.
    std::unique_ptr<RequestRun> removed;
  };
  using Event = std::function<bool(RequestRun&, TimePoint, Actions&)>;

  Shard& ShardOf(QueryHandle handle);

  // Submission.
  std::optional<FinishAction> CheckRequest(const CallerRequest& request) const;
  RunInput MakeInput(QueryHandle handle, CallerRequest request) const;
  void Insert(RunInput input, ReplyCallback done);
  void RequestAdmission(QueryHandle handle, const RunInput& input);

  // Events. False if the run is gone or had no use for the event.
  bool Dispatch(QueryHandle handle, const Event& event);
  void OnTimer(QueryHandle handle, TimePoint armed_for);
  void OnTransportReply(const AttemptPtr& attempt, SubReply reply);
  SubReply CheckReply(const Attempt& attempt, SubReply reply);
  void LearnFromReply(const Attempt& attempt, const SubReply& reply);
  void WakeWaiters(const ServerId& server);

  // Actions.
  void Run(Effects effects);
  void SendOne(SendAction action);
  void CancelOne(Attempt& attempt);
  void Claim(QueryHandle handle, ClaimAction action);
  void ArmTimer(QueryHandle handle, TimePoint at);
  void Finish(Effects& effects);
  void Defer(QueryHandle handle, FinishAction finish, ReplyCallback done);
  void DeliverPending(QueryHandle handle);
  void Deliver(FinishAction finish, const ReplyCallback& done);
  void ReleaseAdmission(const RequestRun& run);
  void EndOne();
  void NotifyDrained();

  EngineContext m_context;
  std::atomic<uint64_t> m_next_handle{1};
  // Runs and pending replies.
  std::atomic<size_t> m_active{0};
  std::array<Shard, config::kStateShards> m_shards;

  std::atomic<bool> m_draining{false};
  std::mutex m_drain_mutex;
  std::vector<std::function<void()>> m_drained;

  std::atomic<uint64_t> m_late{0};
  std::atomic<uint64_t> m_duplicate{0};
  std::atomic<uint64_t> m_foreign{0};
  std::atomic<uint64_t> m_invalid{0};
};

}  // namespace wasabihook

#endif  // SRC_DECISION_QUERY_QUERY_TIER_CORE_H_
