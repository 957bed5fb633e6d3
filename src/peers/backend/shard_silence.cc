// Deadlines, and connections that stay open but no longer answer.
#include <algorithm>
#include <vector>

#include "peers/backend/shard.h"

namespace wasabihook {
namespace {

// Bound on Server::patience.
constexpr uint32_t kMaxPatience = 16;
// Bound on the wait between two checks of one transfer, as a power of two.
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

void Shard::RunTimers() {
  const Clock::time_point now = Clock::now();
  while (!m_timers.empty() && m_timers.top().when <= now) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    if (timer.transfer->serial == timer.serial) {
      OnTimer(timer.transfer, now);
    }
  }
}

Shard::Clock::time_point Shard::ProgressDeadline(
    const Transfer& transfer) const {
  const Clock::time_point start =
      transfer.sent ? transfer.sent_at : Clock::now();
  return start + transfer.expected * transfer.server->patience *
                     (1U << std::min(transfer.checks, kMaxDoublings));
}

void Shard::OnTimer(Transfer* transfer, Clock::time_point now) {
  if (now >= transfer->deadline) {
    OnDeadline(transfer);
    return;
  }
  const bool check = transfer->kind == TransferKind::kWork &&
                     !transfer->progress_over && transfer->head.status == 0;
  if (check && transfer->sent && now >= ProgressDeadline(*transfer)) {
    // May restart the transfer, which then gets a new check.
    OnProgressOver(transfer);
  }
  SetTimer(transfer,
           check && !transfer->progress_over
               ? std::min(transfer->deadline, ProgressDeadline(*transfer))
               : transfer->deadline);
}

void Shard::OnDeadline(Transfer* transfer) {
  Server* server = transfer->server;
  const bool active = transfer->active;
  const bool ever_sent = transfer->ever_sent;
  if (transfer->kind == TransferKind::kWork && transfer->sent &&
      transfer->connection && transfer->head.status == 0 &&
      transfer->request.kind != RequestKind::kOperation) {
    server->timed_out =
        SilenceSign{transfer->connection->opened_at, transfer->sent_at};
  }
  Withdraw(transfer);
  switch (transfer->kind) {
    case TransferKind::kWork:
      if (ever_sent) {
        m_counters.timed_out.Add();
        FinishWork(transfer, SubOutcome::kTimedOut);
      } else {
        FinishWork(transfer, active ? SubOutcome::kConnectFailed
                                    : SubOutcome::kNoConnection);
      }
      if (server->timed_out && !server->probing) {
        StartProbe(server);
      }
      break;
    case TransferKind::kCancel:
      Recycle(transfer);
      break;
    case TransferKind::kProbe:
      OnProbeDone(transfer, false);
      Recycle(transfer);
      break;
  }
  Pump(server);
}

void Shard::OnProgressOver(Transfer* transfer) {
  Server* server = transfer->server;
  // A check that finds nothing is repeated after twice the time.
  ++transfer->checks;
  transfer->progress_over =
      transfer->moved || transfer->request.kind == RequestKind::kOperation;
  if (transfer->moved) {
    // The new connection is as slow: the server is, not the connection.
    server->patience = std::min(server->patience * 2, kMaxPatience);
    return;
  }
  if (transfer->progress_over || m_stopping) {
    return;
  }
  if (transfer->connection && transfer->connection->no_reuse) {
    MoveOff(transfer, Clock::time_point::min());
    return;
  }
  if (!LooksSilent(*transfer)) {
    return;
  }
  transfer->awaits_probe = true;
  if (!server->probing && !StartProbe(server)) {
    // No connection is left for a probe: the sub-request itself becomes one.
    MoveOff(transfer, Clock::time_point::min());
  }
}

bool Shard::LooksSilent(const Transfer& transfer) const {
  return transfer.connection &&
         LooksSilent(*transfer.server,
                     {transfer.connection->opened_at, transfer.sent_at});
}

// True if no connection about as old has answered since the request was sent.
bool Shard::LooksSilent(const Server& server, const SilenceSign& sign) {
  return std::none_of(server.connections.begin(), server.connections.end(),
                      [&](const Connection* other) {
                        return other->opened_at <= sign.sent_at &&
                               other->opened_at <=
                                   sign.opened_at + config::kSameAgeWindow &&
                               other->last_answer_at > sign.sent_at;
                      });
}

bool Shard::StartProbe(Server* server) {
  if (server->in_flight >= server->limit || m_stopping) {
    return false;
  }
  Transfer* probe = NewTransfer(TransferKind::kProbe, server);
  probe->url.assign(server->base_url).append(wire::kHealthPath);
  probe->fresh = true;
  probe->deadline = Clock::now() + config::kProbeTimeout;
  server->probing = true;
  m_counters.probes.Add();
  SetTimer(probe, probe->deadline);
  Start(probe);
  return true;
}

void Shard::OnProbeDone(Transfer* probe, bool answered) {
  Server* server = probe->server;
  server->probing = false;
  // The probe's own connection is newer than the start of the probe.
  const Clock::time_point cutoff = probe->deadline - config::kProbeTimeout;
  std::vector<Transfer*> silent;
  for (Connection* connection : server->connections) {
    Transfer* user = connection->user;
    if (!user || !user->awaits_probe) {
      continue;
    }
    user->awaits_probe = false;
    if (answered && user->head.status == 0 && LooksSilent(*user)) {
      silent.push_back(user);
    }
  }
  for (Transfer* transfer : silent) {
    MoveOff(transfer, cutoff);
  }
  if (answered && server->timed_out &&
      LooksSilent(*server, *server->timed_out)) {
    MarkSuspect(server, cutoff);
  }
  server->timed_out.reset();
}

void Shard::MarkSuspect(Server* server, Clock::time_point cutoff) {
  m_counters.closed_as_suspect.Add(
      static_cast<int64_t>(m_connections.MarkSuspect(server, cutoff)));
}

// Connections opened before `cutoff` become suspect, and the transfer starts
// again on a newer one; time_point::min() means that no probe was answered.
void Shard::MoveOff(Transfer* transfer, Clock::time_point cutoff) {
  Server* server = transfer->server;
  MarkSuspect(server, cutoff);
  Withdraw(transfer);
  m_counters.moved.Add();
  transfer->moved = true;
  // After a probe only its own and newer connections are left to be reused.
  Restart(transfer, cutoff == Clock::time_point::min());
  Pump(server);
}

}  // namespace wasabihook
