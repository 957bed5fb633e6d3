// Deadlines, and connections that stay open but no longer answer.
#include <algorithm>
#include <vector>

#include "peers/backend/shard.h"

namespace wasabihook {
namespace {

// Bound on Server::patience.
constexpr uint32_t kMaxPatience = 16;

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
  return start + transfer.expected * transfer.server->patience;
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
  const bool silent = transfer->sent && transfer->head.status == 0;
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
      if (silent && !server->probing) {
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
  transfer->progress_over = true;
  if (transfer->moved) {
    // The new connection is as slow: the server is, not the connection.
    server->patience = std::min(server->patience * 2, kMaxPatience);
    return;
  }
  if (transfer->request.kind == RequestKind::kOperation || m_stopping) {
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

// True if no connection as old as the transfer's has answered since the
// transfer was sent.
bool Shard::LooksSilent(const Transfer& transfer) const {
  if (!transfer.connection) {
    return false;
  }
  const auto& connections = transfer.server->connections;
  return std::none_of(
      connections.begin(), connections.end(), [&](const Connection* other) {
        return other->opened_at <= transfer.connection->opened_at &&
               other->last_answer_at > transfer.sent_at;
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
  const Clock::time_point cutoff = probe->sent_at;
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
}

// Connections opened before `cutoff` become suspect, and the transfer starts
// again on a new one.
void Shard::MoveOff(Transfer* transfer, Clock::time_point cutoff) {
  Server* server = transfer->server;
  m_counters.closed_as_suspect.Add(
      static_cast<int64_t>(m_connections.MarkSuspect(server, cutoff)));
  Withdraw(transfer);
  m_counters.moved.Add();
  transfer->moved = true;
  Restart(transfer, true);
  Pump(server);
}

}  // namespace wasabihook
