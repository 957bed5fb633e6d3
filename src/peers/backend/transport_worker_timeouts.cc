// Deadlines, and detection of connections that stay open but no longer reply.
#include <algorithm>
#include <vector>

#include "peers/backend/transport_worker.h"

namespace wasabihook {
namespace {

// Upper bound of Server::timeout_multiplier.
constexpr uint32_t kMaxTimeoutMultiplier = 16;
// Upper bound of the exponential backoff between progress checks of a transfer.
constexpr uint32_t kMaxBackoffDoublings = 10;

}  // namespace

void TransportWorker::RunTimers() {
  const Clock::time_point now = Clock::now();
  while (!m_timers.empty() && m_timers.top().when <= now) {
    const Timer timer = m_timers.top();
    m_timers.pop();
    if (timer.transfer->serial == timer.serial) {
      OnTimer(timer.transfer, now);
    }
  }
}

TransportWorker::Clock::time_point TransportWorker::ProgressDeadline(
    const Transfer& transfer) const {
  const Clock::time_point start =
      transfer.sent ? transfer.sent_at : Clock::now();
  return start +
         transfer.expected_response_time * transfer.server->timeout_multiplier *
             (1U << std::min(transfer.progress_checks, kMaxBackoffDoublings));
}

void TransportWorker::OnTimer(Transfer* transfer, Clock::time_point now) {
  if (now >= transfer->deadline) {
    OnDeadline(transfer);
    return;
  }
  const bool check = transfer->kind == TransferKind::kSubRequest &&
                     !transfer->progress_checks_done &&
                     transfer->head.status == 0;
  if (check && transfer->sent && now >= ProgressDeadline(*transfer)) {
    // May requeue the transfer, which is then checked again.
    OnProgressTimeout(transfer);
  }
  SetTimer(transfer,
           check && !transfer->progress_checks_done
               ? std::min(transfer->deadline, ProgressDeadline(*transfer))
               : transfer->deadline);
}

void TransportWorker::OnDeadline(Transfer* transfer) {
  Server* server = transfer->server;
  const bool active = transfer->active;
  const bool ever_sent = transfer->ever_sent;
  if (transfer->kind == TransferKind::kSubRequest && transfer->sent &&
      transfer->connection && transfer->head.status == 0 &&
      transfer->request.kind != RequestKind::kOperation) {
    server->last_unanswered =
        UnansweredRequest{transfer->connection->opened_at, transfer->sent_at};
  }
  Unschedule(transfer);
  switch (transfer->kind) {
    case TransferKind::kSubRequest:
      if (ever_sent) {
        m_counters.timed_out.Add();
        FinishSubRequest(transfer, SubOutcome::kTimedOut);
      } else {
        FinishSubRequest(transfer, active ? SubOutcome::kConnectFailed
                                          : SubOutcome::kNoConnection);
      }
      if (server->last_unanswered && !server->probe_in_flight) {
        StartProbe(server);
      }
      break;
    case TransferKind::kCancel:
      Release(transfer);
      break;
    case TransferKind::kProbe:
      OnProbeDone(transfer, false);
      Release(transfer);
      break;
  }
  StartQueued(server);
}

void TransportWorker::OnProgressTimeout(Transfer* transfer) {
  Server* server = transfer->server;
  // The delay until the next check doubles.
  ++transfer->progress_checks;
  transfer->progress_checks_done =
      transfer->moved || transfer->request.kind == RequestKind::kOperation;
  if (transfer->moved) {
    // The new connection is slow too, so the server is the cause.
    server->timeout_multiplier =
        std::min(server->timeout_multiplier * 2, kMaxTimeoutMultiplier);
    return;
  }
  if (transfer->progress_checks_done || m_stopping) {
    return;
  }
  if (transfer->connection && transfer->connection->no_reuse) {
    MoveToOtherConnection(transfer, Clock::time_point::min());
    return;
  }
  if (!IsUnresponsive(*transfer)) {
    return;
  }
  transfer->awaits_probe = true;
  if (!server->probe_in_flight && !StartProbe(server)) {
    // The connection limit leaves none for a probe, so the sub-request itself
    // is retried on a new connection.
    MoveToOtherConnection(transfer, Clock::time_point::min());
  }
}

bool TransportWorker::IsUnresponsive(const Transfer& transfer) const {
  return transfer.connection &&
         IsUnresponsive(*transfer.server,
                        {transfer.connection->opened_at, transfer.sent_at});
}

// Returns true if no connection opened at about the same time or earlier has
// received a reply since the request was sent.
bool TransportWorker::IsUnresponsive(const Server& server,
                                     const UnansweredRequest& request) {
  return std::none_of(server.connections.begin(), server.connections.end(),
                      [&](const Connection* other) {
                        return other->opened_at <= request.sent_at &&
                               other->opened_at <=
                                   request.opened_at + config::kSameAgeWindow &&
                               other->last_reply_at > request.sent_at;
                      });
}

bool TransportWorker::StartProbe(Server* server) {
  if (server->in_flight >= server->connection_limit || m_stopping) {
    return false;
  }
  Transfer* probe = NewTransfer(TransferKind::kProbe, server);
  probe->url.assign(server->base_url).append(wire::kHealthPath);
  probe->force_new_connection = true;
  probe->deadline = Clock::now() + config::kProbeTimeout;
  server->probe_in_flight = true;
  m_counters.probes.Add();
  SetTimer(probe, probe->deadline);
  Start(probe);
  return true;
}

void TransportWorker::OnProbeDone(Transfer* probe, bool answered) {
  Server* server = probe->server;
  server->probe_in_flight = false;
  // The start of the probe; its own connection was opened later.
  const Clock::time_point cutoff = probe->deadline - config::kProbeTimeout;
  std::vector<Transfer*> unresponsive;
  for (Connection* connection : server->connections) {
    Transfer* transfer = connection->transfer;
    if (!transfer || !transfer->awaits_probe) {
      continue;
    }
    transfer->awaits_probe = false;
    if (answered && transfer->head.status == 0 && IsUnresponsive(*transfer)) {
      unresponsive.push_back(transfer);
    }
  }
  for (Transfer* transfer : unresponsive) {
    MoveToOtherConnection(transfer, cutoff);
  }
  if (answered && server->last_unanswered &&
      IsUnresponsive(*server, *server->last_unanswered)) {
    MarkSuspect(server, cutoff);
  }
  server->last_unanswered.reset();
}

void TransportWorker::MarkSuspect(Server* server, Clock::time_point cutoff) {
  m_counters.closed_as_suspect.Add(
      static_cast<int64_t>(m_connections.MarkSuspect(server, cutoff)));
}

// Marks connections opened before `cutoff` as suspect and requeues the
// transfer. time_point::min() means that no probe has been answered; the
// transfer then needs a new connection.
void TransportWorker::MoveToOtherConnection(Transfer* transfer,
                                            Clock::time_point cutoff) {
  Server* server = transfer->server;
  MarkSuspect(server, cutoff);
  Unschedule(transfer);
  m_counters.moved.Add();
  transfer->moved = true;
  // After a probe, only the probe's connection and newer ones can be reused.
  Requeue(transfer, cutoff == Clock::time_point::min());
  StartQueued(server);
}

}  // namespace wasabihook
