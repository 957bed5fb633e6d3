// Replies of FakeServer, with injected reply faults.
#include <utility>

#include "peers/backend/wire.h"
#include "testing/fake_backends/fake_server.h"

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

// Time after which a reply that waits to be swapped is sent unswapped.
constexpr Duration kSwapTimeout = std::chrono::milliseconds(20);

}  // namespace

Json FakeServer::Load() const {
  return {{"running", m_faults.claimed_running.value_or(m_running.size())},
          {"queued", m_faults.claimed_queued.value_or(m_queue.size())},
          {"draining", m_faults.claimed_state
                           ? *m_faults.claimed_state == "draining"
                           : m_faults.draining}};
}

HttpHeaders FakeServer::HeadersOf(const Work& work) const {
  return {{wire::kRequestIdHeader, work.request_id},
          {wire::kIndexVersionHeader, std::to_string(work.index_version)},
          {wire::kMapVersionHeader, std::to_string(work.map_version)},
          {wire::kShardGroupHeader, work.group_id}};
}

void FakeServer::SendRefusal(const Work& work, int status, const char* error) {
  Json body = {
      {"request_id", work.request_id}, {"error", error}, {"load", Load()}};
  if (status == 409) {
    body["newest"] = {{"index_version", m_index_versions.front()},
                      {"map_version", m_maps.front().version}};
  }
  HttpHeaders headers = HeadersOf(work);
  if (status == 429 || status == 503) {
    headers.emplace_back("Retry-After", "1");
  }
  m_http.Reply(work.connection, MakeReply(status, headers, body.dump()));
}

std::vector<std::string> FakeServer::RowsOf(const Work& work,
                                            uint64_t* searched) {
  const auto view = m_options.corpus->View(work.index_version, work.groups);
  if (work.kind == "search") {
    *searched = view->Records(work.group);
    return view->Search(work.group, work.text);
  }
  *searched = 1;
  if (work.kind == "fetch") {
    const std::string* row = view->Fetch(work.group, work.record_key);
    return row ? std::vector<std::string>{*row} : std::vector<std::string>();
  }
  return {Json{
      {"record_key", work.record_key},
      {"idempotency_key", work.idempotency_key},
      {"done",
       true}}.dump()};
}

void FakeServer::SendAnswer(const Work& work) {
  uint64_t searched = 0;
  std::vector<std::string> rows = RowsOf(work, &searched);
  const size_t row_count = rows.size();
  if (!rows.empty() && RandomBool(m_faults.short_rows_share)) {
    rows.pop_back();
  }
  std::string body = Json{
      {"request_id", work.request_id},
      {"index_version", work.index_version},
      {"map_version", work.map_version},
      {"group", work.group_id},
      {"records_searched", searched},
      {"row_count", row_count},
      {"load", Load()}}.dump();
  body.pop_back();
  body += R"(,"rows":[)";
  for (size_t i = 0; i < rows.size(); ++i) {
    body.append(i > 0 ? "," : "").append(rows[i]);
  }
  body += "]}";
  SendWithFaults(work, MakeReply(200, HeadersOf(work), body));
}

void FakeServer::SendWithFaults(const Work& work, std::string bytes) {
  if (RandomBool(m_faults.lose_reply_share)) {
    m_http.Abort(work.connection);
  } else if (RandomBool(m_faults.truncate_share)) {
    bytes.resize(bytes.size() - 10);
    m_http.ReplyAndClose(work.connection, bytes);
  } else if (RandomBool(m_faults.duplicate_share)) {
    m_http.Reply(work.connection, bytes + bytes);
  } else if (RandomBool(m_faults.swap_share)) {
    SendSwappedReply(work.connection, std::move(bytes));
  } else {
    m_http.Reply(work.connection, bytes);
  }
}

void FakeServer::SendSwappedReply(ConnectionId connection, std::string bytes) {
  if (m_held_reply) {
    auto [other, other_bytes] = std::move(*m_held_reply);
    m_held_reply.reset();
    m_http.Reply(connection, other_bytes);
    m_http.Reply(other, bytes);
    return;
  }
  m_held_reply.emplace(connection, std::move(bytes));
  const uint64_t number = ++m_held_number;
  m_loop->After(kSwapTimeout, [self = std::weak_ptr(m_self), number] {
    auto server = self.lock();
    if (server && (*server)->m_held_reply &&
        (*server)->m_held_number == number) {
      auto [held, held_bytes] = std::move(*(*server)->m_held_reply);
      (*server)->m_held_reply.reset();
      (*server)->m_http.Reply(held, held_bytes);
    }
  });
}

}  // namespace wasabihook::testing
