// What servers say of themselves, and the checks of what they get meanwhile.

#include <algorithm>
#include <cstdio>

#include "wasabihook-soak/soak.h"

namespace wasabihook::soak {
namespace {

using gateway::testing::FakeBackendServer;
using gateway::testing::ServerFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limit that a server names, and for how long. A server may get this multiple
// of its limit in a window, and some requests more, from processes that it told
// half a second before.
constexpr double kLimitPerSecond = 8;
constexpr Duration kLimitTime = seconds(7);
constexpr Duration kLimitWindow = seconds(4);
constexpr Duration kToldBefore = milliseconds(500);
constexpr double kLimitTolerance = 1.5;
constexpr size_t kLimitSlack = 5;
// Time after which a server that says it leaves must get no more requests from
// the processes that it told, and after which it ends.
constexpr Duration kDrainTime = seconds(3);
constexpr Duration kLeavingTime = seconds(6);
// Pauses that a server asks for, and requests that may reach it in each.
constexpr Duration kMinPause = milliseconds(300);
constexpr Duration kMaxPause = seconds(5);
constexpr size_t kMaxRequestsInPause = 2;
// One in this many pauses is asked for by all replicas of a shard.
constexpr size_t kAllReplicasOneIn = 3;

}  // namespace

void Soak::StartStatement(size_t server, StatementKind kind, Duration time) {
  m_servers[server]->SetFault(ServerFault::kNone);
  m_links[server]->SetFault(LinkFault::kNone);
  m_servers[server]->RecordArrivals();
  m_statements[server] = {.kind = kind, .since = m_loop.Now()};
  const TimePoint since = m_loop.Now();
  m_loop.SubscribeOnce(time, [this, server, since] {
    const auto found = m_statements.find(server);
    if (found != m_statements.end() && found->second.since == since)
      EndStatement(server);
  });
}

void Soak::StartLimit() {
  if (!m_inject_faults)
    return;
  const size_t server = RandomIndex(kShards * 2);
  if (m_statements.contains(server) || !m_servers[server]->running())
    return;
  StartStatement(server, StatementKind::kLimit, kLimitTime);
  m_servers[server]->SetLimit(kLimitPerSecond);
  ++m_result.limits;
}

// The registry is not told, as if it were away.
void Soak::StartLeaving() {
  if (!m_inject_faults)
    return;
  const size_t server = m_statement_random() % (kShards * 2);
  if (m_statements.contains(server) || !m_servers[server]->running())
    return;
  StartStatement(server, StatementKind::kLeaving, kLeavingTime);
  m_servers[server]->SetLeaving(true);
  ++m_result.leaving;
}

void Soak::StartPause() {
  if (!m_inject_faults)
    return;
  const size_t shard = m_statement_random() % kShards;
  const size_t first = shard * 2;
  const bool all = m_statement_random() % kAllReplicasOneIn == 0;
  const auto pause = Duration(static_cast<int64_t>(
      static_cast<uint64_t>(kMinPause.count()) +
      m_statement_random() %
          static_cast<uint64_t>((kMaxPause - kMinPause).count())));
  char text[32];
  std::snprintf(text, sizeof(text), "%.6f",
                static_cast<double>(pause.count()) / 1e6);
  for (size_t server = first; server < first + (all ? 2 : 1); ++server) {
    if (m_statements.contains(server) || !m_servers[server]->running())
      continue;
    // It turns requests away for as long as the pause, and is looked at until
    // the last of them has passed.
    StartStatement(server, StatementKind::kPause, 2 * pause);
    m_statements[server].pause = pause;
    m_servers[server]->SetPause(text);
    m_loop.SubscribeOnce(pause,
                         [this, server] { m_servers[server]->SetPause(""); });
    ++m_result.pauses;
  }
}

void Soak::EndStatement(size_t server) {
  const auto found = m_statements.find(server);
  if (found == m_statements.end())
    return;
  const Statement statement = found->second;
  m_statements.erase(found);
  FakeBackendServer& target = *m_servers[server];
  switch (statement.kind) {
    case StatementKind::kLimit:
      CheckLimit(server, statement.since);
      target.SetLimit(std::nullopt);
      break;
    case StatementKind::kLeaving:
      CheckLeaving(server);
      target.SetLeaving(false);
      if (target.running())
        target.Crash();
      break;
    case StatementKind::kPause:
      CheckPause(server, statement.pause);
      target.SetPause("");
      break;
  }
}

// Counts the requests of processes that were undisturbed since the limit was
// named, from half a second after the first answer to each.
void Soak::CheckLimit(size_t server, TimePoint since) {
  std::map<size_t, TimePoint> told;
  std::vector<TimePoint> counted;
  for (const FakeBackendServer::Arrival& arrival :
       m_servers[server]->arrivals()) {
    const auto sent = m_sent.find(arrival.request_id);
    if (sent == m_sent.end() ||
        !m_gateways[sent->second.gateway].UndisturbedSince(since))
      continue;
    const auto [first, added] = told.emplace(sent->second.gateway, arrival.at);
    if (arrival.at - first->second >= kToldBefore)
      counted.push_back(arrival.at);
  }
  size_t most = 0;
  for (size_t first = 0; first < counted.size(); ++first) {
    const auto end = std::upper_bound(counted.begin(), counted.end(),
                                      counted[first] + kLimitWindow);
    most = std::max(most, static_cast<size_t>(end - counted.begin()) - first);
  }
  const auto allowed =
      static_cast<size_t>(kLimitTolerance * kLimitPerSecond *
                          static_cast<double>(kLimitWindow / seconds(1))) +
      kLimitSlack;
  if (most > allowed)
    ReportViolation(m_servers[server]->id() + ": got " + std::to_string(most) +
                    " requests in 4 s where its limit allows " +
                    std::to_string(allowed));
}

void Soak::CheckLeaving(size_t server) {
  std::map<size_t, TimePoint> told;
  for (const FakeBackendServer::Arrival& arrival :
       m_servers[server]->arrivals()) {
    const auto sent = m_sent.find(arrival.request_id);
    if (sent == m_sent.end())
      continue;
    const size_t gateway = sent->second.gateway;
    const auto [first, added] = told.emplace(gateway, arrival.at);
    if (sent->second.at > first->second + kDrainTime &&
        m_gateways[gateway].UndisturbedSince(first->second))
      ReportViolation(
          m_servers[server]->id() + ": got " + arrival.request_id + " from " +
          m_gateways[gateway].process->id() + " " +
          std::to_string((sent->second.at - first->second).count() / 1000) +
          " ms after it had told it that it leaves");
  }
}

void Soak::CheckPause(size_t server, Duration pause) {
  const auto& arrivals = m_servers[server]->arrivals();
  for (size_t i = 0; i < arrivals.size(); ++i) {
    const auto told = m_sent.find(arrivals[i].request_id);
    if (!arrivals[i].refused || told == m_sent.end())
      continue;
    const size_t gateway = told->second.gateway;
    if (!m_gateways[gateway].UndisturbedSince(arrivals[i].at))
      continue;
    const auto count = static_cast<size_t>(std::count_if(
        arrivals.begin() + static_cast<ptrdiff_t>(i), arrivals.end(),
        [this, gateway, from = arrivals[i].at + kToldBefore,
         until = arrivals[i].at +
                 pause](const FakeBackendServer::Arrival& arrival) {
          const auto sent = m_sent.find(arrival.request_id);
          return arrival.at > from && arrival.at < until &&
                 sent != m_sent.end() && sent->second.gateway == gateway;
        }));
    if (count <= kMaxRequestsInPause)
      continue;
    ReportViolation(m_servers[server]->id() + ": got " + std::to_string(count) +
                    " requests from " + m_gateways[gateway].process->id() +
                    " within the " + std::to_string(pause.count() / 1000) +
                    " ms for which it wanted none");
    return;
  }
}

}  // namespace wasabihook::soak
