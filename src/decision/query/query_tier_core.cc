#include "decision/query/query_tier_core.h"

#include <algorithm>
#include <utility>

#include "decision/routing/hedge_policy.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/server_table.h"

namespace wasabihook {

QueryTierCore::QueryTierCore(QueryTierDeps deps) : m_context(std::move(deps)) {}

QueryTierCore::Shard& QueryTierCore::ShardOf(QueryHandle handle) {
  return m_shards[handle.value() % m_shards.size()];
}

DroppedReplies QueryTierCore::dropped_replies() const {
  return {.late = m_late_replies.load(),
          .duplicate = m_duplicate_replies.load(),
          .foreign = m_foreign_replies.load(),
          .invalid = m_invalid_replies.load()};
}

bool QueryTierCore::Dispatch(QueryHandle handle, const Event& event) {
  Effects effects;
  effects.handle = handle;
  bool used = false;
  Shard& shard = ShardOf(handle);
  {
    std::lock_guard lock(shard.mutex);
    const auto it = shard.entries.find(handle);
    if (it == shard.entries.end()) {
      return false;
    }
    Entry& entry = it->second;
    used = event(*entry.run, m_context.deps.timers->Now(), effects.actions);
    if (effects.actions.finish) {
      effects.done = std::move(entry.done);
      effects.defer_reply = entry.in_submit;
    }
    if (effects.actions.remove) {
      effects.removed = std::move(entry.run);
      effects.expired_timer = entry.timer;
      shard.entries.erase(it);
    } else if (const TimePoint wake = entry.run->NextWake();
               wake.since_epoch != Duration::max() &&
               (!entry.armed_for || wake < *entry.armed_for)) {
      entry.armed_for = wake;
      effects.arm = wake;
    }
  }
  RunActions(std::move(effects));
  return used;
}

void QueryTierCore::OnTimer(QueryHandle handle, TimePoint armed_for) {
  {
    Shard& shard = ShardOf(handle);
    std::lock_guard lock(shard.mutex);
    if (auto it = shard.entries.find(handle);
        it != shard.entries.end() && it->second.armed_for == armed_for) {
      it->second.armed_for.reset();
    }
  }
  Dispatch(handle, [](RequestRun& run, TimePoint now, Actions& actions) {
    run.OnWake(now, actions);
    return true;
  });
}

void QueryTierCore::OnTransportReply(const AttemptPtr& attempt,
                                     SubReply reply) {
  if (attempt->answered.exchange(true)) {
    ++m_duplicate_replies;
    return;
  }
  reply = ValidateReply(*attempt, std::move(reply));
  ProcessReplyFeedback(*attempt, reply);
  const bool cancelled = reply.outcome == SubOutcome::kCancelled;
  const bool used = Dispatch(
      attempt->query, [&](RequestRun& run, TimePoint now, Actions& actions) {
        return run.OnReply(*attempt, std::move(reply), now, actions);
      });
  if (!used && !cancelled) {
    ++m_late_replies;
  }
  WakeWaiters(attempt->server);
}

SubReply QueryTierCore::ValidateReply(const Attempt& attempt, SubReply reply) {
  if (reply.id != attempt.id) {
    // The reply belongs to another sub-request. The one of this callback gets
    // no further reply and may have run.
    ++m_foreign_replies;
    return MakeOutcomeReply(attempt, SubOutcome::kInvalidReply);
  }
  if (reply.outcome == SubOutcome::kOk && !MatchesPinnedGroup(attempt, reply)) {
    ++m_invalid_replies;
    return MakeOutcomeReply(attempt, SubOutcome::kInvalidReply);
  }
  return reply;
}

void QueryTierCore::ProcessReplyFeedback(const Attempt& attempt,
                                         const SubReply& reply) {
  const QueryTierDeps& deps = m_context.deps;
  const Duration latency = deps.timers->Now() - attempt.sent_at;
  if (reply.outcome == SubOutcome::kConnectionLost) {
    deps.quarantine->ReportCrash(attempt.server,
                                 m_context.bodies.ForServer(attempt.server));
  }
  m_context.bodies.Remove(attempt.server, attempt.id);
  deps.servers->Release(attempt.server, reply, latency);
  if (reply.outcome == SubOutcome::kOk ||
      reply.outcome == SubOutcome::kCancelled ||
      reply.outcome == SubOutcome::kTimedOut) {
    // Includes cancelled and timed-out attempts: if only the faster replica of
    // each hedged pair counted, the learned hedge delay would drift down.
    deps.hedging->Observe(attempt.group, latency);
  }
  if (reply.outcome == SubOutcome::kOk) {
    deps.quarantine->ReportSuccess(attempt.body.team, attempt.body.fingerprint,
                                   attempt.server);
  }
}

void QueryTierCore::WakeWaiters(const ServerId& server) {
  // A waiter that finds no capacity is queued again with a later ticket, so the
  // loop ends at the current one.
  const uint64_t end = m_context.waiters.next_ticket();
  while (const auto waiter = m_context.waiters.Take(server, end)) {
    const bool sent = Dispatch(
        waiter->query, [&](RequestRun& run, TimePoint now, Actions& actions) {
          return run.OnCapacity(waiter->ticket, now, actions);
        });
    if (sent) {
      return;
    }
  }
}

}  // namespace wasabihook
