#include "peers/backend/transfer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <chrono>
#include <stdexcept>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

long CeilMs(Duration duration) {
  auto ms = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return ms < 1 ? 1L : static_cast<long>(ms);
}

}  // namespace

Transfer::Transfer(const TransferContext& transfer_context)
    : context(transfer_context), easy(curl_easy_init()) {
  if (!easy) {
    throw std::runtime_error("curl_easy_init failed");
  }
  SetConstantOptions();
}

Transfer::~Transfer() {
  curl_easy_cleanup(easy);
}

void Transfer::SetConstantOptions() {
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE,
                   static_cast<long>(config::kTcpKeepaliveIdle.count()));
  curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL,
                   static_cast<long>(config::kTcpKeepaliveInterval.count()));
  curl_easy_setopt(
      easy, CURLOPT_MAXAGE_CONN,
      static_cast<long>(std::chrono::duration_cast<std::chrono::seconds>(
                            context.options->idle_timeout)
                            .count()));
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Transfer::OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Transfer::CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, context.connections);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Transfer::SocketOptions);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::Prerequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::Header);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::Body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
}

void Transfer::AddHeader(const char* name, std::string_view value) {
  std::string& text = m_header_text[m_header_count];
  text.assign(name).append(": ").append(value);
  curl_slist& node = m_headers[m_header_count];
  node.data = text.data();
  node.next = nullptr;
  if (m_header_count > 0) {
    m_headers[m_header_count - 1].next = &node;
  }
  ++m_header_count;
}

void Transfer::AddHeader(const char* name, uint64_t value) {
  char digits[20];
  auto [end, error] = std::to_chars(digits, digits + sizeof(digits), value);
  AddHeader(name, std::string_view(digits, end - digits));
}

void Transfer::Prepare(Duration remaining) {
  m_header_count = 0;
  if (kind == TransferKind::kSubRequest) {
    AddHeader(wire::kRequestIdHeader, request.id.value());
    AddHeader(wire::kDeadlineHeader, DeadlineMs(remaining));
    AddHeader(wire::kIndexVersionHeader,
              request.snapshot.index_version.value());
    AddHeader(wire::kMapVersionHeader, request.snapshot.map_version.value());
    AddHeader(wire::kShardGroupHeader, request.group.value());
  }
  if (kind == TransferKind::kProbe) {
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
  } else {
    AddHeader("Content-Type", "application/json");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER,
                   m_header_count > 0 ? m_headers.data() : nullptr);
  if (m_current_url != url) {
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    m_current_url = url;
  }
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, force_new_connection ? 1L : 0L);
  curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS,
      CeilMs(std::min(remaining, context.options->connect_timeout)));
}

void Transfer::ClearReply() {
  head.Clear();
  reply.clear();
  sent = false;
  needs_new_connection = false;
  connection_limit_hit = false;
  resend_prevented = false;
  too_large = false;
  awaits_probe = false;
  progress_checks_done = false;
  progress_checks = 0;
}

void Transfer::Detach() {
  if (connection) {
    connection->transfer = nullptr;
    connection = nullptr;
  }
}

// libcurl calls this on a connected socket just before it writes the request.
int Transfer::OnPrerequest(int local_port) {
  if (sent) {
    // A reused connection was lost before the reply. libcurl would send the
    // request again, but the server may have executed it already.
    resend_prevented = true;
    context.counters->resends_prevented.Add();
    return CURL_PREREQFUNC_ABORT;
  }
  const auto port = static_cast<uint16_t>(local_port);
  if (connection) {
    connection->local_port = port;
  } else {
    Connection* reused = FindByPort(*server, port);
    if (!reused || reused->no_reuse) {
      needs_new_connection = true;
      return CURL_PREREQFUNC_ABORT;
    }
    if (reused->transfer) {
      // Its reply is complete, but the worker has not read the completion yet.
      reused->last_reply_at = TransportClock::now();
      reused->transfer->Detach();
    }
    connection = reused;
    reused->transfer = this;
    context.counters->reused.Add();
  }
  sent = true;
  ever_sent = true;
  sent_at = TransportClock::now();
  return CURL_PREREQFUNC_OK;
}

curl_socket_t Transfer::OpenSocket(void* self,
                                   curlsocktype,
                                   curl_sockaddr* address) {
  auto* transfer = static_cast<Transfer*>(self);
  if (transfer->sent) {
    transfer->resend_prevented = true;
    transfer->context.counters->resends_prevented.Add();
    return CURL_SOCKET_BAD;
  }
  return transfer->context.connections->Open(transfer, address);
}

int Transfer::CloseSocket(void* table, curl_socket_t fd) {
  static_cast<ConnectionTable*>(table)->Close(fd);
  return 0;
}

int Transfer::SocketOptions(void*, curl_socket_t fd, curlsocktype) {
  const auto timeout = static_cast<unsigned>(CeilMs(config::kTcpUserTimeout));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  return CURL_SOCKOPT_OK;
}

int Transfer::Prerequest(void* self, char*, char*, int, int local_port) {
  return static_cast<Transfer*>(self)->OnPrerequest(local_port);
}

size_t Transfer::Header(char* data, size_t size, size_t n, void* self) {
  static_cast<Transfer*>(self)->head.AddLine({data, size * n});
  return size * n;
}

size_t Transfer::Body(char* data, size_t size, size_t n, void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  if (transfer->reply.size() + size * n >
      transfer->context.options->max_reply_bytes) {
    transfer->too_large = true;
    return 0;
  }
  transfer->reply.append(data, size * n);
  return size * n;
}

}  // namespace wasabihook
