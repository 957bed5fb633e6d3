#include "testing/fake_backends/fake_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "peers/backend/wire.h"

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

// Number of a group whose id is "g<number>". Empty for any other id.
std::optional<uint32_t> GroupNumber(std::string_view id) {
  if (!id.starts_with('g')) {
    return std::nullopt;
  }
  uint32_t number = 0;
  const char* end = id.data() + id.size();
  auto [at, error] = std::from_chars(id.data() + 1, end, number);
  if (error != std::errc() || at != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

FakeServer::FakeServer(EventLoop* loop, FakeServerOptions options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_http(loop,
             {.on_request =
                  [this](ConnectionId id, HttpRequest request) {
                    OnRequest(id, request);
                  },
              .on_closed = [this](ConnectionId id) { OnClosed(id); }}),
      m_random(m_options.seed),
      m_index_versions{m_options.index_version},
      m_maps{{m_options.map_version, m_options.base_groups}},
      m_self(std::make_shared<FakeServer*>(this)) {
  m_http.SetMaxConnections(m_options.max_connections);
  m_http.SetAcceptDelay(m_options.connect_delay);
}

FakeServer::~FakeServer() {
  for (const auto& [number, work] : m_running) {
    m_loop->CancelTimer(work->timer);
  }
}

void FakeServer::Start(uint16_t port) {
  m_http.Listen(port);
  m_port = m_http.port();
}

std::string FakeServer::address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void FakeServer::Change(const Json& faults) {
  ChangeFaults(faults, &m_faults);
  if (faults.value("silent", false)) {
    m_http.SilenceAll();
  }
  if (faults.contains("lost")) {
    faults["lost"].get<bool>() ? TakeDown() : Restart();
  }
}

void FakeServer::SetIndexVersion(uint64_t version) {
  if (m_index_versions.front() != version) {
    m_index_versions = {version, m_index_versions.front()};
  }
}

void FakeServer::SetMap(uint64_t version, uint32_t groups) {
  if (m_maps.front().version != version) {
    m_maps = {{version, groups}, m_maps.front()};
  }
}

FakeServerStats FakeServer::Stats() const {
  FakeServerStats stats = m_stats;
  stats.running = static_cast<uint32_t>(m_running.size());
  stats.queued = static_cast<uint32_t>(m_queue.size());
  stats.open_connections = m_http.open();
  stats.peak_connections = m_http.peak();
  stats.accepted_connections = m_http.accepted();
  stats.refused_connections = m_http.refused();
  return stats;
}

void FakeServer::OnRequest(ConnectionId connection,
                           const HttpRequest& request) {
  if (request.path == wire::kHealthPath) {
    OnHealth(connection);
  } else if (request.path == wire::kCancelPath) {
    OnCancel(connection, request);
  } else {
    OnWork(connection, request);
  }
}

// Cancels the work of a closed connection. Running operations are completed.
void FakeServer::OnClosed(ConnectionId connection) {
  CancelMatching(
      [](const Work& work, const void* argument) {
        return work.connection == *static_cast<const ConnectionId*>(argument);
      },
      &connection);
}

void FakeServer::OnHealth(ConnectionId connection) {
  ++m_stats.health_calls;
  const std::string state = m_faults.draining ? "draining" : "ok";
  const Json body = {{"state", m_faults.claimed_state.value_or(state)},
                     {"load", Load()}};
  m_http.Reply(connection, MakeReply(200, {}, body.dump()));
}

void FakeServer::OnCancel(ConnectionId connection, const HttpRequest& request) {
  ++m_stats.cancel_calls;
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_object() && body.contains("request_ids")) {
    for (const Json& id : body["request_ids"]) {
      const auto* text = id.get_ptr<const std::string*>();
      if (text) {
        CancelMatching(
            [](const Work& work, const void* argument) {
              return work.request_id ==
                     *static_cast<const std::string*>(argument);
            },
            text);
      }
    }
  }
  m_http.Reply(connection, MakeReply(200, {}, "{}"));
}

bool FakeServer::ParseWork(const HttpRequest& request, Work* work) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || request.method != "POST") {
    return false;
  }
  work->request_id = request.Header(wire::kRequestIdHeader);
  work->group_id = request.Header(wire::kShardGroupHeader);
  work->index_version = request.NumberHeader(wire::kIndexVersionHeader);
  work->map_version = request.NumberHeader(wire::kMapVersionHeader);
  work->deadline =
      LoopClock::now() +
      std::chrono::milliseconds(request.NumberHeader(wire::kDeadlineHeader));
  work->record_key = body.value("record_key", "");
  work->idempotency_key = body.value("idempotency_key", "");
  if (request.path == "/v1/search") {
    work->kind = "search";
    work->text = body.value("query", "");
  } else if (request.path == "/v1/fetch") {
    work->kind = "fetch";
  } else if (request.path == "/v1/execute") {
    work->kind = "operation";
    work->text = body.value("operation", "");
  }
  return !work->kind.empty() && !work->request_id.empty();
}

bool FakeServer::HoldsGroup(uint32_t group, uint32_t groups) const {
  if (group >= groups) {
    return false;
  }
  return groups >= m_options.base_groups
             ? group % m_options.base_groups == m_options.base_group
             : m_options.base_group % groups == group;
}

// Returns false if the server accepts the work. Otherwise sends a refusal and
// returns true.
bool FakeServer::Refuse(const Work& work) {
  const auto map = std::find_if(
      m_maps.begin(), m_maps.end(),
      [&](const MapView& view) { return view.version == work.map_version; });
  const bool served =
      map != m_maps.end() &&
      std::find(m_index_versions.begin(), m_index_versions.end(),
                work.index_version) != m_index_versions.end();
  const std::optional<uint32_t> group = GroupNumber(work.group_id);
  if (m_faults.draining) {
    SendRefusal(work, 503, "draining");
  } else if (!served || m_faults.refuse_versions) {
    SendRefusal(work, 409, "snapshot_not_served");
  } else if (!group || !HoldsGroup(*group, map->groups)) {
    SendRefusal(work, 404, "group_not_held");
  } else if (RandomBool(m_faults.shed_share) ||
             (m_running.size() >= m_options.slots &&
              m_queue.size() >= m_options.queue)) {
    SendRefusal(work, 429, "overloaded");
  } else {
    return false;
  }
  ++m_stats.refused;
  return true;
}

void FakeServer::OnWork(ConnectionId connection, const HttpRequest& request) {
  auto work = std::make_unique<Work>();
  work->connection = connection;
  if (!ParseWork(request, work.get())) {
    m_http.Reply(connection, MakeReply(400, {}, R"({"error":"bad_request"})"));
    return;
  }
  ++m_stats.received;
  if (Refuse(*work)) {
    return;
  }
  work->group = *GroupNumber(work->group_id);
  work->groups =
      std::find_if(m_maps.begin(), m_maps.end(), [&](const MapView& view) {
        return view.version == work->map_version;
      })->groups;
  if (m_running.size() < m_options.slots) {
    StartWork(std::move(work));
  } else {
    m_queue.push_back(std::move(work));
  }
}

void FakeServer::StartWork(std::unique_ptr<Work> work) {
  ++m_stats.started;
  if (m_options.log) {
    m_options.log->Add(
        {.kind = work->kind,
         .server = address(),
         .index_set = m_options.index_set,
         .request_id = work->request_id,
         .group = work->group_id,
         .payload = work->kind == "fetch" ? work->record_key : work->text,
         .idempotency_key = work->idempotency_key,
         .index_version = work->index_version,
         .map_version = work->map_version});
  }
  if (!m_options.crash_marker.empty() &&
      work->text.find(m_options.crash_marker) != std::string::npos) {
    Crash();
    return;
  }
  const uint64_t number = m_next_work++;
  work->started = LoopClock::now();
  const LoopClock::time_point end = work->started + ServiceTime();
  const bool too_late = end > work->deadline && work->kind != "operation" &&
                        !m_faults.ignore_deadline;
  const auto delay = std::chrono::ceil<Duration>(
      (too_late ? work->deadline : end) - work->started);
  work->timer = m_loop->After(std::max(delay, Duration(0)), [=, this] {
    too_late ? EndByDeadline(number) : OnServiceEnd(number);
  });
  m_running[number] = std::move(work);
}

void FakeServer::StartQueued() {
  while (!m_queue.empty() && m_running.size() < m_options.slots) {
    std::unique_ptr<Work> work = std::move(m_queue.front());
    m_queue.pop_front();
    if (LoopClock::now() >= work->deadline) {
      ++m_stats.expired;
      SendRefusal(*work, 504, "deadline_exceeded");
    } else {
      StartWork(std::move(work));
    }
  }
}

std::unique_ptr<FakeServer::Work> FakeServer::RemoveRunning(uint64_t number) {
  auto found = m_running.find(number);
  std::unique_ptr<Work> work = std::move(found->second);
  m_running.erase(found);
  m_stats.busy +=
      std::chrono::duration_cast<Duration>(LoopClock::now() - work->started);
  return work;
}

void FakeServer::OnServiceEnd(uint64_t number) {
  const std::unique_ptr<Work> work = RemoveRunning(number);
  ++m_stats.finished;
  SendAnswer(*work);
  StartQueued();
}

void FakeServer::EndByDeadline(uint64_t number) {
  const std::unique_ptr<Work> work = RemoveRunning(number);
  ++m_stats.expired;
  SendRefusal(*work, 504, "deadline_exceeded");
  StartQueued();
}

// Cancels matching work that is queued or running, except running operations.
void FakeServer::CancelMatching(bool (*matches)(const Work&, const void*),
                                const void* argument) {
  m_stats.cancelled += std::erase_if(
      m_queue, [&](const auto& work) { return matches(*work, argument); });
  std::vector<uint64_t> stopped;
  for (const auto& [number, work] : m_running) {
    if (work->kind != "operation" && matches(*work, argument)) {
      stopped.push_back(number);
    }
  }
  for (uint64_t number : stopped) {
    const std::unique_ptr<Work> work = RemoveRunning(number);
    m_loop->CancelTimer(work->timer);
    ++m_stats.cancelled;
    SendRefusal(*work, 504, "cancelled");
  }
  StartQueued();
}

bool FakeServer::RandomBool(double share) {
  return share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Duration FakeServer::ServiceTime() {
  double us = static_cast<double>(m_options.service_median.count());
  if (us > 0 && m_options.service_sigma > 0) {
    us = std::lognormal_distribution<double>(std::log(us),
                                             m_options.service_sigma)(m_random);
  }
  const LoopClock::time_point now = LoopClock::now();
  if (now < m_faults.cold_end) {
    const std::chrono::duration<double> whole =
        m_faults.cold_end - m_faults.cold_start;
    const std::chrono::duration<double> left = m_faults.cold_end - now;
    us *= 1 + (m_faults.cold_factor - 1) * (left / whole);
  }
  Duration time(static_cast<int64_t>(us));
  time += m_faults.slow;
  if (RandomBool(m_faults.straggle_share)) {
    time += m_faults.straggle;
  }
  return time;
}

void FakeServer::Crash() {
  ++m_stats.crashes;
  TakeDown();
  m_loop->After(m_options.restart_delay, [self = std::weak_ptr(m_self)] {
    if (auto server = self.lock()) {
      (*server)->Restart();
    }
  });
}

void FakeServer::TakeDown() {
  m_down = true;
  m_http.StopListening();
  m_http.AbortAll();
  for (const auto& [number, work] : m_running) {
    m_loop->CancelTimer(work->timer);
  }
  m_running.clear();
  m_queue.clear();
  m_held_reply.reset();
}

void FakeServer::Restart() {
  if (m_down) {
    m_down = false;
    m_http.Listen(m_port);
  }
}

}  // namespace wasabihook::testing
