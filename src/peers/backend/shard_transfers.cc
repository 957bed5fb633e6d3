// Life of a transfer: queue, start, completion.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "peers/backend/shard.h"

namespace wasabihook {
namespace {

// Header values must not contain bytes that end a line.
bool IsHeaderSafe(std::string_view value) {
  return std::all_of(value.begin(), value.end(),
                     [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

SubOutcome OutcomeOf(CURLcode code, const Transfer& transfer) {
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

InvalidCause CauseOf(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) {
    return InvalidCause::kTooLarge;
  }
  return code == CURLE_PARTIAL_FILE ? InvalidCause::kLength
                                    : InvalidCause::kProtocol;
}

}  // namespace

Server* Shard::FindServer(const ServerId& id) {
  std::unique_ptr<Server>& server = m_servers[id];
  if (!server) {
    server = std::make_unique<Server>();
    server->id = id;
    server->base_url = "http://" + id.value();
    server->limit = m_options.connection_limit;
  }
  return server.get();
}

Transfer* Shard::NewTransfer(TransferKind kind, Server* server) {
  Transfer* transfer = nullptr;
  if (m_free.empty()) {
    m_transfers.push_back(std::make_unique<Transfer>(m_context));
    transfer = m_transfers.back().get();
  } else {
    transfer = m_free.back();
    m_free.pop_back();
  }
  transfer->serial = m_next_serial++;
  transfer->kind = kind;
  transfer->server = server;
  transfer->fresh = false;
  transfer->ever_sent = false;
  transfer->moved = false;
  transfer->ClearReply();
  return transfer;
}

void Shard::Recycle(Transfer* transfer) {
  transfer->serial = m_next_serial++;
  transfer->request = SubRequest();
  m_free.push_back(transfer);
}

void Shard::SetTimer(Transfer* transfer, Clock::time_point when) {
  m_timers.push({when, transfer, transfer->serial});
}

void Shard::Run(SendCommand command) {
  Server* server = FindServer(command.request.server);
  Transfer* transfer = NewTransfer(TransferKind::kWork, server);
  transfer->request = std::move(command.request);
  transfer->done = std::move(command.done);
  transfer->deadline = command.deadline;
  m_work[transfer->request.id] = transfer;
  if (m_stopping) {
    FinishWork(transfer, SubOutcome::kCancelled);
    return;
  }
  if (!IsHeaderSafe(transfer->request.id.value()) ||
      !IsHeaderSafe(transfer->request.group.value())) {
    FinishWork(transfer, SubOutcome::kConnectFailed);
    return;
  }
  transfer->body = EncodeBody(transfer->request);
  transfer->url.assign(server->base_url)
      .append(PathFor(transfer->request.kind));
  // libcurl re-sends a request when a reused connection turns out to be dead.
  // Operations get a connection of their own, so that a stale one does not turn
  // their outcome into an unknown one.
  transfer->fresh = transfer->request.kind == RequestKind::kOperation;
  transfer->expected = m_options.expected_time
                           ? m_options.expected_time(transfer->request)
                           : config::kProgressTimeout;
  Enqueue(transfer);
}

void Shard::Enqueue(Transfer* transfer) {
  SetTimer(transfer, std::min(transfer->deadline, ProgressDeadline(*transfer)));
  transfer->server->waiting.push_back(transfer);
  Pump(transfer->server);
}

void Shard::Pump(Server* server) {
  while (!server->waiting.empty() && server->in_flight < server->limit) {
    Transfer* transfer = server->waiting.front();
    server->waiting.pop_front();
    Start(transfer);
  }
  if (!server->cancels.empty() && server->in_flight < server->limit) {
    StartCancel(server);
  }
}

void Shard::StartCancel(Server* server) {
  Transfer* transfer = NewTransfer(TransferKind::kCancel, server);
  transfer->body = EncodeCancelBody(server->cancels);
  transfer->url.assign(server->base_url).append(wire::kCancelPath);
  transfer->deadline = Clock::now() + config::kCancelTimeout;
  m_counters.cancels_sent.Add(static_cast<int64_t>(server->cancels.size()));
  server->cancels.clear();
  SetTimer(transfer, transfer->deadline);
  Start(transfer);
}

void Shard::Start(Transfer* transfer) {
  transfer->Prepare(
      std::chrono::duration_cast<Duration>(transfer->deadline - Clock::now()));
  transfer->active = true;
  ++transfer->server->in_flight;
  curl_multi_add_handle(m_multi, transfer->easy);
}

void Shard::Withdraw(Transfer* transfer) {
  if (!transfer->active) {
    if (transfer->server) {
      std::erase(transfer->server->waiting, transfer);
    }
    return;
  }
  // libcurl closes the connection of an unfinished transfer.
  curl_multi_remove_handle(m_multi, transfer->easy);
  transfer->active = false;
  --transfer->server->in_flight;
  transfer->Detach();
}

void Shard::ReadCompletions() {
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

void Shard::Complete(Transfer* transfer, CURLcode code) {
  Server* server = transfer->server;
  Connection* connection = transfer->connection;
  transfer->Detach();
  DecodedReply decoded;
  if (code == CURLE_OK && transfer->kind == TransferKind::kWork) {
    decoded = DecodeReply(transfer->request, transfer->head, transfer->reply);
  }
  if (connection) {
    connection->last_answer_at = Clock::now();
    // What follows on the connection of an invalid reply cannot be trusted.
    if (connection->no_reuse || decoded.invalid) {
      m_connections.ShutDown(connection);
    }
  }
  switch (transfer->kind) {
    case TransferKind::kWork:
      CompleteWork(transfer, code, std::move(decoded));
      break;
    case TransferKind::kCancel:
      Recycle(transfer);
      break;
    case TransferKind::kProbe:
      OnProbeDone(transfer, code == CURLE_OK && transfer->head.status == 200);
      Recycle(transfer);
      break;
  }
  while (server->connections.size() > server->limit &&
         m_connections.ShutDownIdle(server)) {
  }
  Pump(server);
}

void Shard::CompleteWork(Transfer* transfer,
                         CURLcode code,
                         DecodedReply decoded) {
  if (code == CURLE_OK) {
    if (decoded.invalid) {
      CountInvalid(*transfer, *decoded.invalid);
    } else if (transfer->moved && !transfer->progress_over) {
      transfer->server->patience = 1;
    }
    FinishWork(transfer, std::move(decoded.reply));
    return;
  }
  if (transfer->restart || (transfer->limit_hit && !transfer->sent)) {
    Restart(transfer, transfer->restart || transfer->fresh);
    return;
  }
  const SubOutcome outcome = OutcomeOf(code, *transfer);
  if (outcome == SubOutcome::kInvalidReply) {
    CountInvalid(*transfer, CauseOf(code, *transfer));
  } else if (outcome == SubOutcome::kConnectFailed) {
    m_counters.connect_failed.Add();
  }
  FinishWork(transfer, outcome);
}

void Shard::Restart(Transfer* transfer, bool fresh) {
  transfer->ClearReply();
  transfer->fresh = fresh;
  transfer->server->waiting.push_front(transfer);
}

void Shard::CountInvalid(const Transfer& transfer, InvalidCause cause) {
  m_counters.invalid[static_cast<size_t>(cause)].Add();
  spdlog::warn(
      "reply of backend server dropped cause={} server={} sub_request={}",
      ToString(cause), transfer.server->id.value(),
      transfer.request.id.value());
}

void Shard::FinishWork(Transfer* transfer, SubOutcome outcome) {
  SubReply reply;
  reply.id = transfer->request.id;
  reply.outcome = outcome;
  FinishWork(transfer, std::move(reply));
}

void Shard::FinishWork(Transfer* transfer, SubReply reply) {
  if (auto found = m_work.find(reply.id);
      found != m_work.end() && found->second == transfer) {
    m_work.erase(found);
    m_ended_ids.push_back(reply.id);
  }
  SubReplyCallback done = std::move(transfer->done);
  transfer->done = nullptr;
  Recycle(transfer);
  done(std::move(reply));
  m_on_called_back();
}

}  // namespace wasabihook
