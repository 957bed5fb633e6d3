// Execution of the actions of state machines, with no lock held.

#include <algorithm>
#include <utility>

#include "decision/query/query_tier_core.h"

namespace wasabihook {

void QueryTierCore::RunActions(Effects effects) {
  const QueryTierDeps& deps = m_context.deps;
  Actions& actions = effects.actions;
  if (actions.record) {
    deps.claims->Record(std::move(actions.record->key),
                        std::move(actions.record->nonce),
                        std::move(actions.record->outcome));
  }
  if (effects.removed) {
    deps.timers->Unsubscribe(effects.expired_timer);
  }
  if (actions.finish) {
    Finish(effects);
  }
  for (const AttemptPtr& attempt : actions.cancels) {
    CancelSubRequest(*attempt);
  }
  for (SendAction& send : actions.sends) {
    SendSubRequest(std::move(send));
  }
  if (actions.claim) {
    RequestClaim(effects.handle, std::move(*actions.claim));
  }
  if (effects.arm) {
    ArmTimer(effects.handle, *effects.arm);
  }
  if (effects.removed) {
    ReleaseAdmission(*effects.removed);
    OnRequestEnded();
  }
}

void QueryTierCore::SendSubRequest(SendAction action) {
  const AttemptPtr attempt = std::move(action.attempt);
  m_context.bodies.Add(attempt->server, attempt->id, attempt->body);
  if (attempt->cancelled.load()) {
    OnTransportReply(attempt,
                     MakeOutcomeReply(*attempt, SubOutcome::kCancelled));
    return;
  }
  m_context.deps.transport->Send(
      std::move(action.request),
      [weak = weak_from_this(), attempt](SubReply reply) {
        if (const auto self = weak.lock()) {
          self->OnTransportReply(attempt, std::move(reply));
        }
      });
  // Another thread may have cancelled the attempt between the check and Send().
  if (attempt->cancelled.load()) {
    m_context.deps.transport->Cancel(attempt->id);
  }
}

void QueryTierCore::CancelSubRequest(Attempt& attempt) {
  attempt.cancelled.store(true);
  m_context.deps.transport->Cancel(attempt.id);
}

void QueryTierCore::RequestClaim(QueryHandle handle, ClaimAction action) {
  m_context.deps.claims->Claim(
      std::move(action.key), action.fingerprint, action.deadline,
      [weak = weak_from_this(), handle](ClaimResult result) {
        if (const auto self = weak.lock()) {
          self->Dispatch(handle,
                         [&](RequestRun& run, TimePoint now, Actions& actions) {
                           run.OnClaim(std::move(result), now, actions);
                           return true;
                         });
        }
      });
}

void QueryTierCore::ArmTimer(QueryHandle handle, TimePoint at) {
  TimerService& timers = *m_context.deps.timers;
  const Duration delay = std::max(at - timers.Now(), Duration(0));
  TimerHandle unused =
      timers.SubscribeOnce(delay, [weak = weak_from_this(), handle, at] {
        if (const auto self = weak.lock()) {
          self->OnTimer(handle, at);
        }
      });
  {
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.entries.find(handle);
        it != shard.entries.end() && it->second.armed_for == at) {
      std::swap(unused, it->second.timer);
    }
  }
  timers.Unsubscribe(unused);
}

void QueryTierCore::Finish(Effects& effects) {
  if (effects.defer_reply) {
    DeferReply(effects.handle, std::move(*effects.actions.finish),
               std::move(effects.done));
  } else {
    DeliverReply(std::move(*effects.actions.finish), effects.done);
  }
}

void QueryTierCore::DeferReply(QueryHandle handle,
                               FinishAction finish,
                               ReplyCallback done) {
  ++m_active;
  {
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    shard.pending.emplace(handle,
                          DeferredReply{std::move(finish), std::move(done)});
  }
  m_context.deps.timers->SubscribeOnce(Duration(0),
                                       [weak = weak_from_this(), handle] {
                                         if (const auto self = weak.lock()) {
                                           self->DeliverDeferredReply(handle);
                                         }
                                       });
}

void QueryTierCore::DeliverDeferredReply(QueryHandle handle) {
  std::optional<DeferredReply> reply;
  {
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    if (auto node = shard.pending.extract(handle)) {
      reply = std::move(node.mapped());
    }
  }
  if (reply) {
    DeliverReply(std::move(reply->finish), reply->done);
    OnRequestEnded();
  }
}

void QueryTierCore::DeliverReply(FinishAction finish,
                                 const ReplyCallback& done) {
  // Reported before the reply, so that a caller that reads the metrics after
  // its reply finds the request counted.
  if (m_context.deps.on_outcome) {
    m_context.deps.on_outcome(finish.outcome);
  }
  done(std::move(finish.reply));
}

void QueryTierCore::ReleaseAdmission(const RequestRun& run) {
  const RunInput& input = run.input();
  if (run.admitted_at() && input.settings->admission_control) {
    m_context.deps.admission->Release(
        input.request.team, input.request.index_set,
        m_context.deps.timers->Now() - *run.admitted_at(), run.saw_overload());
  }
}

void QueryTierCore::OnRequestEnded() {
  if (--m_active == 0 && m_draining.load()) {
    NotifyDrained();
  }
}

void QueryTierCore::NotifyDrained() {
  std::vector<std::function<void()>> drained;
  {
    std::lock_guard lock(m_drain_mutex);
    drained.swap(m_drain_callbacks);
  }
  for (const auto& callback : drained) {
    callback();
  }
}

}  // namespace wasabihook
