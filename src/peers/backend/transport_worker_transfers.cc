// Queueing, start and completion of transfers.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "peers/backend/transport_worker.h"

namespace wasabihook {
namespace {

// Control characters would allow header injection.
bool IsHeaderSafe(std::string_view value) {
  return std::all_of(value.begin(), value.end(),
                     [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

SubOutcome OutcomeFor(CURLcode code, const Transfer& transfer) {
  if (!transfer.ever_sent) {
    return SubOutcome::kConnectFailed;
  }
  switch (code) {
    case CURLE_WRITE_ERROR:
    case CURLE_PARTIAL_FILE:
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_OUT_OF_MEMORY:
      return SubOutcome::kInvalidReply;
    default:
      return SubOutcome::kConnectionLost;
  }
}

InvalidReplyCause CauseFor(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) {
    return InvalidReplyCause::kTooLarge;
  }
  return code == CURLE_PARTIAL_FILE ? InvalidReplyCause::kLength
                                    : InvalidReplyCause::kProtocol;
}

}  // namespace

Server* TransportWorker::FindServer(const ServerId& id) {
  std::unique_ptr<Server>& server = m_servers[id];
  if (!server) {
    server = std::make_unique<Server>();
    server->id = id;
    server->base_url = "http://" + id.value();
    server->connection_limit = m_options.connection_limit;
  }
  return server.get();
}

Transfer* TransportWorker::NewTransfer(TransferKind kind, Server* server) {
  Transfer* transfer = nullptr;
  if (m_free_transfers.empty()) {
    m_transfers.push_back(std::make_unique<Transfer>(m_context));
    transfer = m_transfers.back().get();
  } else {
    transfer = m_free_transfers.back();
    m_free_transfers.pop_back();
  }
  transfer->serial = m_next_serial++;
  transfer->kind = kind;
  transfer->server = server;
  transfer->force_new_connection = false;
  transfer->ever_sent = false;
  transfer->moved = false;
  transfer->ClearReply();
  return transfer;
}

void TransportWorker::Release(Transfer* transfer) {
  transfer->serial = m_next_serial++;
  transfer->request = SubRequest();
  m_free_transfers.push_back(transfer);
}

void TransportWorker::SetTimer(Transfer* transfer, Clock::time_point when) {
  m_timers.push({when, transfer, transfer->serial});
}

void TransportWorker::Run(SendCommand command) {
  Server* server = FindServer(command.request.server);
  Transfer* transfer = NewTransfer(TransferKind::kSubRequest, server);
  transfer->request = std::move(command.request);
  transfer->done = std::move(command.done);
  transfer->deadline = command.deadline;
  m_sub_requests[transfer->request.id] = transfer;
  if (m_stopping) {
    FinishSubRequest(transfer, SubOutcome::kCancelled);
    return;
  }
  if (!IsHeaderSafe(transfer->request.id.value()) ||
      !IsHeaderSafe(transfer->request.group.value())) {
    FinishSubRequest(transfer, SubOutcome::kConnectFailed);
    return;
  }
  transfer->body = EncodeBody(transfer->request);
  transfer->url.assign(server->base_url)
      .append(PathFor(transfer->request.kind));
  // libcurl sends a request again if a reused connection turns out to be
  // closed. Operations always use a new connection, so that a stale one cannot
  // make their outcome unknown.
  transfer->force_new_connection =
      transfer->request.kind == RequestKind::kOperation;
  transfer->expected_response_time =
      m_options.expected_response_time
          ? m_options.expected_response_time(transfer->request)
          : config::kProgressTimeout;
  Enqueue(transfer);
}

void TransportWorker::Enqueue(Transfer* transfer) {
  SetTimer(transfer, std::min(transfer->deadline, ProgressDeadline(*transfer)));
  transfer->server->queue.push_back(transfer);
  StartQueued(transfer->server);
}

void TransportWorker::StartQueued(Server* server) {
  while (!server->queue.empty() &&
         server->in_flight < server->connection_limit) {
    Transfer* transfer = server->queue.front();
    server->queue.pop_front();
    Start(transfer);
  }
  if (!server->pending_cancels.empty() &&
      server->in_flight < server->connection_limit) {
    StartCancel(server);
  }
}

void TransportWorker::StartCancel(Server* server) {
  Transfer* transfer = NewTransfer(TransferKind::kCancel, server);
  transfer->body = EncodeCancelBody(server->pending_cancels);
  transfer->url.assign(server->base_url).append(wire::kCancelPath);
  transfer->deadline = Clock::now() + config::kCancelTimeout;
  m_counters.cancels_sent.Add(
      static_cast<int64_t>(server->pending_cancels.size()));
  server->pending_cancels.clear();
  SetTimer(transfer, transfer->deadline);
  Start(transfer);
}

void TransportWorker::Start(Transfer* transfer) {
  transfer->Prepare(
      std::chrono::duration_cast<Duration>(transfer->deadline - Clock::now()));
  transfer->active = true;
  ++transfer->server->in_flight;
  curl_multi_add_handle(m_multi, transfer->easy);
}

void TransportWorker::Unschedule(Transfer* transfer) {
  if (!transfer->active) {
    if (transfer->server) {
      std::erase(transfer->server->queue, transfer);
    }
    return;
  }
  // libcurl closes the connection of an unfinished transfer.
  curl_multi_remove_handle(m_multi, transfer->easy);
  transfer->active = false;
  --transfer->server->in_flight;
  transfer->Detach();
}

void TransportWorker::ReadCompletions() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const CURLcode code = message->data.result;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    curl_multi_remove_handle(m_multi, transfer->easy);
    transfer->active = false;
    --transfer->server->in_flight;
    Complete(transfer, code);
  }
}

void TransportWorker::Complete(Transfer* transfer, CURLcode code) {
  Server* server = transfer->server;
  Connection* connection = transfer->connection;
  transfer->Detach();
  DecodedReply decoded;
  if (code == CURLE_OK && transfer->kind == TransferKind::kSubRequest) {
    decoded = DecodeReply(transfer->request, transfer->head, transfer->reply);
  }
  if (connection) {
    connection->last_reply_at = Clock::now();
    // After an invalid reply, further bytes on the connection cannot be
    // trusted.
    if (connection->no_reuse || decoded.invalid) {
      m_connections.ShutDown(connection);
    }
  }
  switch (transfer->kind) {
    case TransferKind::kSubRequest:
      CompleteSubRequest(transfer, code, std::move(decoded));
      break;
    case TransferKind::kCancel:
      Release(transfer);
      break;
    case TransferKind::kProbe:
      OnProbeDone(transfer, code == CURLE_OK && transfer->head.status == 200);
      Release(transfer);
      break;
  }
  while (server->connections.size() > server->connection_limit &&
         m_connections.ShutDownIdle(server)) {
  }
  StartQueued(server);
}

void TransportWorker::CompleteSubRequest(Transfer* transfer,
                                         CURLcode code,
                                         DecodedReply decoded) {
  if (code == CURLE_OK) {
    if (decoded.invalid) {
      CountInvalid(*transfer, *decoded.invalid);
    } else if (transfer->moved && !transfer->progress_checks_done) {
      transfer->server->timeout_multiplier = 1;
    }
    FinishSubRequest(transfer, std::move(decoded.reply));
    return;
  }
  if (transfer->needs_new_connection ||
      (transfer->connection_limit_hit && !transfer->sent)) {
    Requeue(transfer,
            transfer->needs_new_connection || transfer->force_new_connection);
    return;
  }
  const SubOutcome outcome = OutcomeFor(code, *transfer);
  if (outcome == SubOutcome::kInvalidReply) {
    CountInvalid(*transfer, CauseFor(code, *transfer));
  } else if (outcome == SubOutcome::kConnectFailed) {
    m_counters.connect_failed.Add();
  }
  FinishSubRequest(transfer, outcome);
}

void TransportWorker::Requeue(Transfer* transfer, bool force_new_connection) {
  transfer->ClearReply();
  transfer->force_new_connection = force_new_connection;
  transfer->server->queue.push_front(transfer);
}

void TransportWorker::CountInvalid(const Transfer& transfer,
                                   InvalidReplyCause cause) {
  m_counters.invalid[static_cast<size_t>(cause)].Add();
  spdlog::warn(
      "dropped invalid reply from backend server cause={} server={} "
      "sub_request={}",
      ToString(cause), transfer.server->id.value(),
      transfer.request.id.value());
}

void TransportWorker::FinishSubRequest(Transfer* transfer, SubOutcome outcome) {
  SubReply reply;
  reply.id = transfer->request.id;
  reply.outcome = outcome;
  FinishSubRequest(transfer, std::move(reply));
}

void TransportWorker::FinishSubRequest(Transfer* transfer, SubReply reply) {
  if (auto found = m_sub_requests.find(reply.id);
      found != m_sub_requests.end() && found->second == transfer) {
    m_sub_requests.erase(found);
    m_finished_ids.push_back(reply.id);
  }
  SubReplyCallback done = std::move(transfer->done);
  transfer->done = nullptr;
  Release(transfer);
  done(std::move(reply));
  m_on_callback_done();
}

}  // namespace wasabihook
