#include "gateway/backend_server.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "gateway/request_fingerprint.h"
#include "gateway/server_pause.h"

namespace wasabihook::gateway {
namespace {

constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr std::string_view kTrue = "1";

// Requests per second as a decimal number; empty if it isn't one.
std::optional<double> ParseRate(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value) || value < 0)
    return std::nullopt;
  return value;
}

}  // namespace

const char* ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kReply:
      return "reply";
    case AttemptOutcome::kFailure:
      return "failure";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kWrongServer:
      return "wrong_server";
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kLost:
      return "lost";
    case AttemptOutcome::kInvalidReply:
      return "invalid_reply";
  }
  return "unknown";
}

bool IsProvablyNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kWrongServer ||
         outcome == AttemptOutcome::kNotSent;
}

BackendServer::BackendServer(GatewayContext* context, ServerEntry entry)
    : m_context(context),
      m_entry(std::move(entry)),
      m_key(MakeServerKey(m_entry.id, m_entry.started_at_ms)),
      m_service_key(MakeServiceKey(m_entry.service.value())),
      m_warm_up_end(context->loop->Now() + m_entry.warm_up_left) {
  CheckLeaving();
}

BackendServer::~BackendServer() {
  for (Slot& slot : m_slots) {
    slot.connection->Close();
    m_context->loop->Retire(std::move(slot.connection));
  }
}

void BackendServer::Update(ServerEntry entry) {
  const bool restarted = entry.started_at_ms != m_entry.started_at_ms ||
                         entry.address != m_entry.address;
  if (restarted)
    ReportEnd();
  m_entry = std::move(entry);
  m_key = MakeServerKey(m_entry.id, m_entry.started_at_ms);
  m_warm_up_end = m_context->loop->Now() + m_entry.warm_up_left;
  m_availability.OnNewEntry();
  if (!restarted)
    return;
  m_health.Reset();
  m_availability.OnRestarted();
  CheckLeaving();
  CloseIdle();
}

void BackendServer::StartDraining(TimePoint now) {
  m_availability.OnLeaving(now);
  CloseIdle();
}

void BackendServer::CloseIdle() {
  for (size_t i = m_slots.size(); i-- > 0;) {
    if (m_slots[i].attempt != nullptr)
      continue;
    m_slots[i].connection->Close();
    m_context->loop->Retire(std::move(m_slots[i].connection));
    m_slots.erase(m_slots.begin() + static_cast<ptrdiff_t>(i));
  }
}

BackendServer::Slot* BackendServer::FindIdle(bool non_idempotent) {
  // Prefers the most recently used connection: the server is least likely to
  // have closed it.
  Slot* best = nullptr;
  const TimePoint now = m_context->loop->Now();
  for (Slot& slot : m_slots) {
    if (slot.attempt != nullptr || !slot.connection->usable())
      continue;
    if (non_idempotent &&
        now - slot.connection->idle_since() > kMaxIdleForNonIdempotent)
      continue;
    if (best == nullptr ||
        slot.connection->idle_since() > best->connection->idle_since())
      best = &slot;
  }
  return best;
}

bool BackendServer::HasConnection() const {
  if (m_slots.size() < m_connection_limit)
    return true;
  return std::any_of(m_slots.begin(), m_slots.end(),
                     [](const Slot& slot) { return slot.attempt == nullptr; });
}

BackendServer::Slot& BackendServer::OpenConnection() {
  if (m_slots.size() >= m_connection_limit) {
    // The limit is reached and no idle connection fits this request: closes one
    // to stay within the limit.
    const auto idle =
        std::find_if(m_slots.begin(), m_slots.end(),
                     [](const Slot& slot) { return slot.attempt == nullptr; });
    if (idle != m_slots.end()) {
      idle->connection->Close();
      m_context->loop->Retire(std::move(idle->connection));
      m_slots.erase(idle);
    }
  }
  m_slots.push_back({.connection = std::make_unique<ServerConnection>(
                         m_context->loop, this, m_entry.address,
                         &m_context->platform->headers.request_id,
                         TcpTimeouts{.user_timeout = kServerUserTimeout,
                                     .keepalive = Duration(0)},
                         MessageLimits{.max_head_bytes = kMaxReplyHeadBytes,
                                       .max_body_bytes = kMaxReplyBodyBytes,
                                       .buffered = m_context->reply_bytes}),
                     .attempt = nullptr});
  return m_slots.back();
}

Attempt* BackendServer::Send(ServerRequest request) {
  const TimePoint now = m_context->loop->Now();
  Slot* slot = FindIdle(request.non_idempotent);
  if (slot == nullptr)
    slot = &OpenConnection();
  slot->attempt = std::make_unique<Attempt>(Attempt{
      .listener = request.listener,
      .part = request.part,
      .server = this,
      .connection = slot->connection.get(),
      .request_id = request.request_id,
      .fingerprint = request.fingerprint,
      .sent_at = now,
      .median_latency = request.median_latency,
      .deadline = request.deadline,
      .repeat = request.repeat,
      .abandoned_at = std::nullopt,
  });
  m_context->limits->OnSend(m_key, now);
  slot->warm_up = false;
  ++m_outstanding;
  slot->connection->Send(std::move(request.bytes),
                         std::move(request.request_id), request.head_only,
                         std::min(request.deadline, now + kMaxUnsentAge),
                         std::move(request.shared_body));
  return slot->attempt.get();
}

void BackendServer::Abandon(Attempt* attempt, bool close_now) {
  ObserveOverdue(attempt);
  attempt->listener = nullptr;
  attempt->abandoned_at = m_context->loop->Now();
  // Without a connection nothing was sent yet; the request is dropped.
  if (!close_now && attempt->connection->connected())
    return;
  ServerConnection* connection = attempt->connection;
  connection->Close();
  --m_outstanding;
  Remove(*connection);
}

bool BackendServer::IsSlow(const Attempt& attempt, TimePoint now) const {
  const auto limit = Duration(static_cast<int64_t>(
      static_cast<double>(attempt.median_latency.count()) * kSlowReplyFactor));
  return attempt.median_latency > Duration(0) && now - attempt.sent_at > limit;
}

void BackendServer::Observe(Attempt& attempt, bool bad) {
  if (attempt.observed)
    return;
  attempt.observed = true;
  m_context->observer->Observe(m_key, bad);
}

void BackendServer::ObserveOverdue(Attempt* attempt) {
  if (IsSlow(*attempt, m_context->loop->Now()))
    Observe(*attempt, true);
}

bool BackendServer::IsOutlier(TimePoint now) const {
  return now - m_last_good_reply > kOwnObservationPeriod &&
         m_context->observer->IsOutlier(m_key);
}

double BackendServer::Pace(TimePoint now) const {
  const double own = m_health.relative_latency();
  return m_context->settings->learns_capacity
             ? m_context->paces->PaceOf(m_key, own, now)
             : own;
}

void BackendServer::Detach(Attempt* attempt) {
  attempt->listener = nullptr;
  attempt->abandoned_at = std::max(attempt->deadline, m_context->loop->Now());
}

void BackendServer::AbortConnect(Attempt* attempt) {
  ServerConnection* connection = attempt->connection;
  connection->Close();
  --m_outstanding;
  Observe(*attempt, true);
  m_context->metrics->CountConnect(true);
  MarkUnreachable("slow_connect");
  Remove(*connection);
}

void BackendServer::Probe(TimePoint now) {
  if (draining() || IsPaused(now) || !m_health.ProbeDue(now) ||
      !HasConnection())
    return;
  m_health.StartProbe(now);
  OpenConnection();
}

void BackendServer::Sweep(TimePoint now) {
  CheckLeaving();
  if (draining())
    CloseIdle();
  CloseTimedOut(now);
  Probe(now);
}

void BackendServer::CloseTimedOut(TimePoint now) {
  for (size_t i = m_slots.size(); i-- > 0;) {
    Slot& slot = m_slots[i];
    ServerConnection& connection = *slot.connection;
    if (!connection.open() ||
        (!connection.connected() &&
         now - connection.opened_at() > kServerConnectTimeout)) {
      // The connection failed immediately or timed out.
      const bool has_attempt = slot.attempt != nullptr;
      connection.Close();
      if (has_attempt)
        OnRequestEnd(connection, WireOutcome::kNotSent);
      OnClosed(connection, true);
      // The callbacks may have removed slots.
      i = std::min(i, m_slots.size());
      continue;
    }
    if (slot.attempt != nullptr && slot.attempt->abandoned_at &&
        now - *slot.attempt->abandoned_at > kAbandonedReplyTimeout) {
      const bool silent =
          now - std::max(slot.attempt->sent_at, m_health.last_reply()) >
          kSilentTimeout;
      connection.Close();
      --m_outstanding;
      if (silent)
        MarkUnreachable("silent");
      Remove(connection);
      i = std::min(i, m_slots.size());
    }
  }
}

bool BackendServer::IsStalled(TimePoint now) const {
  if (m_outstanding == 0)
    return false;
  for (const Slot& slot : m_slots) {
    if (slot.attempt != nullptr &&
        ServerHealth::IsStalled(slot.attempt->sent_at, m_health.last_reply(),
                                slot.attempt->median_latency, now))
      return true;
  }
  return false;
}

BackendServer::Slot* BackendServer::FindSlot(
    const ServerConnection& connection) {
  const auto found = std::find_if(m_slots.begin(), m_slots.end(),
                                  [&connection](const Slot& slot) {
                                    return slot.connection.get() == &connection;
                                  });
  return found == m_slots.end() ? nullptr : &*found;
}

void BackendServer::Remove(const ServerConnection& connection) {
  const auto found = std::find_if(m_slots.begin(), m_slots.end(),
                                  [&connection](const Slot& slot) {
                                    return slot.connection.get() == &connection;
                                  });
  if (found == m_slots.end())
    return;
  m_context->loop->Retire(std::move(found->connection));
  m_slots.erase(found);
}

AttemptOutcome BackendServer::Classify(WireOutcome outcome,
                                       MessageParser& reply) const {
  switch (outcome) {
    case WireOutcome::kNotSent:
      return AttemptOutcome::kNotSent;
    case WireOutcome::kLost:
      return AttemptOutcome::kLost;
    case WireOutcome::kInvalidReply:
      return AttemptOutcome::kInvalidReply;
    case WireOutcome::kReply:
      break;
  }
  const PlatformAdapter& platform = *m_context->platform;
  if (reply.status() == platform.wrong_server_status)
    return AttemptOutcome::kWrongServer;
  if (reply.headers().Has(platform.headers.not_run))
    return AttemptOutcome::kRefused;
  // A success reply must carry a proof; without one it is invalid.
  const bool unproven = reply.status() < kFirstRedirect &&
                        !reply.headers().Has(platform.headers.proof);
  if (unproven)
    return AttemptOutcome::kInvalidReply;
  return reply.status() >= kFirstServerError ? AttemptOutcome::kFailure
                                             : AttemptOutcome::kReply;
}

void BackendServer::RecordOutcome(Attempt& attempt, AttemptOutcome outcome) {
  const TimePoint now = m_context->loop->Now();
  m_context->metrics->CountAttempt(ToString(outcome));
  if (outcome != AttemptOutcome::kNotSent && outcome != AttemptOutcome::kLost &&
      outcome != AttemptOutcome::kInvalidReply)
    MarkReachable();
  const bool good = outcome == AttemptOutcome::kReply && !IsSlow(attempt, now);
  if (good)
    m_last_good_reply = now;
  Observe(attempt, !good);
  switch (outcome) {
    case AttemptOutcome::kReply:
    case AttemptOutcome::kFailure:
      m_health.OnReply(now - attempt.sent_at, attempt.median_latency,
                       outcome == AttemptOutcome::kFailure, now);
      if (m_context->settings->learns_capacity &&
          outcome == AttemptOutcome::kReply &&
          attempt.median_latency > Duration(0))
        m_context->paces->Add(
            m_key,
            static_cast<double>((now - attempt.sent_at).count()) /
                static_cast<double>(attempt.median_latency.count()),
            now);
      break;
    case AttemptOutcome::kRefused:
      m_health.OnRefusal(now);
      break;
    case AttemptOutcome::kWrongServer:
      RecordMisdirected(now);
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kLost:
    case AttemptOutcome::kInvalidReply:
      // Connection failures are recorded by OnClosed().
      break;
  }
}

void BackendServer::ApplyLimit(AttemptOutcome result,
                               const HeaderList& headers) {
  if (result == AttemptOutcome::kWrongServer)
    return;
  const std::string_view text =
      headers.Find(m_context->platform->headers.server_limit);
  ServerLimits& limits = *m_context->limits;
  std::optional<double> limit;
  if (!text.empty()) {
    limit = ParseRate(text);
    if (!limit) {
      m_context->log->Warning(
          "server_limit_invalid",
          {{"server", m_entry.id.value()}, {"value", std::string(text)}});
      return;
    }
  } else if (!limits.IsLimited(m_key) || (result != AttemptOutcome::kReply &&
                                          result != AttemptOutcome::kFailure)) {
    // Only an answer to a request that was run shows that the limit has ended.
    return;
  }
  const TimePoint now = m_context->loop->Now();
  const std::optional<double> before = limits.LimitOf(m_key);
  if (!limits.Apply({.server = m_key, .per_second = limit, .at = now}, now))
    return;
  m_context->metrics->CountLimit(limit ? "named" : "lifted");
  m_context->log->Info("server_limit_changed",
                       {{"server", m_entry.id.value()},
                        {"service", m_entry.service.value()},
                        {"from_per_s", before.value_or(-1)},
                        {"to_per_s", limit.value_or(-1)},
                        {"share_per_s", limit ? limits.ShareOf(m_key) : -1}});
}

void BackendServer::ApplyLeaving(AttemptOutcome result,
                                 const HeaderList& headers) {
  // The answer of another server says nothing about this one.
  if (result == AttemptOutcome::kWrongServer ||
      headers.Find(m_context->platform->headers.server_leaving) != kTrue)
    return;
  const TimePoint now = m_context->loop->Now();
  if (m_context->leaving->Add({.server = m_key, .at = now}, now))
    m_context->metrics->CountLeaving("said");
  CheckLeaving();
}

void BackendServer::ApplyPause(AttemptOutcome result,
                               const MessageParser& reply) {
  if (result == AttemptOutcome::kWrongServer || reply.status() != kUnavailable)
    return;
  const HeaderList& headers = reply.headers();
  std::vector<std::string_view> values;
  for (size_t i = 0; i < headers.size(); ++i) {
    const HeaderList::Field field = headers.at(i);
    if (EqualsIgnoreCase(field.name, m_context->platform->headers.retry_after))
      values.push_back(field.value);
  }
  if (values.empty())
    return;
  const TimePoint now = m_context->loop->Now();
  const std::optional<Duration> pause = ParsePause(values);
  m_context->metrics->CountPause(pause ? "named" : "invalid");
  if (!pause) {
    m_context->log->Warning("server_pause_invalid",
                            {{"server", m_entry.id.value()},
                             {"value", std::string(values.front())}});
    return;
  }
  const auto jitter =
      Duration(static_cast<int64_t>(static_cast<double>(pause->count()) *
                                    kPauseJitterShare * m_context->Uniform()));
  if (!IsPaused(now))
    m_context->log->Info("server_paused",
                         {{"server", m_entry.id.value()},
                          {"service", m_entry.service.value()},
                          {"value", std::string(values.front())},
                          {"pause_ms", (*pause + jitter).count() / 1000}});
  m_availability.OnPause(now + *pause + jitter);
}

void BackendServer::CheckLeaving() {
  if (m_availability.said_leaving())
    return;
  const auto since = m_context->leaving->Since(m_key);
  if (!since)
    return;
  m_context->log->Info(
      "server_leaving",
      {{"server", m_entry.id.value()},
       {"service", m_entry.service.value()},
       {"said_ms", (m_context->loop->Now() - *since).count() / 1000},
       {"registry_says_so", m_availability.leaving()}});
  m_availability.OnSaidLeaving(*since);
}

bool BackendServer::MaySend(TimePoint now) const {
  return m_context->limits->MaySend(m_key, now);
}

void BackendServer::OnDemand(double requests, TimePoint now) {
  m_context->limits->OnDemand(m_key, requests, now);
}

bool BackendServer::IsLimited() const {
  return m_context->limits->IsLimited(m_key);
}

void BackendServer::ReportEnd() {
  m_context->quarantine->OnServerEnded(m_key, m_context->loop->Now());
}

void BackendServer::ReportCrashEvidence(const Attempt& attempt,
                                        AttemptOutcome result,
                                        WireOutcome outcome) {
  const TimePoint now = m_context->loop->Now();
  RequestQuarantine& quarantine = *m_context->quarantine;
  switch (result) {
    case AttemptOutcome::kReply:
    case AttemptOutcome::kFailure:
      quarantine.OnSurvival(
          {.fingerprint = attempt.fingerprint,
           .service = m_service_key,
           .caller_attempt = MakeCallerAttemptKey(attempt.request_id),
           .at = now});
      quarantine.OnServerAlive(m_key, attempt.sent_at);
      break;
    case AttemptOutcome::kRefused:
      quarantine.OnServerAlive(m_key, attempt.sent_at);
      break;
    case AttemptOutcome::kWrongServer:
      ReportEnd();
      break;
    case AttemptOutcome::kNotSent:
      break;
    case AttemptOutcome::kInvalidReply:
      LogLoss(attempt, outcome);
      break;
    case AttemptOutcome::kLost:
      LogLoss(attempt, outcome);
      ReportLoss(now);
      quarantine.OnLoss(
          {.fingerprint = attempt.fingerprint,
           .service = m_service_key,
           .server = m_key,
           .caller_attempt = MakeCallerAttemptKey(attempt.request_id),
           .at = now},
          attempt.sent_at);
      ProbeNow(now);
      break;
  }
}

void BackendServer::ReportLoss(TimePoint now) {
  CrashAlert& alert = *m_context->crash_alert;
  if (!alert.OnServerLost(m_key, m_service_key, now))
    return;
  m_context->metrics->CountCrashAlert("raised");
  m_context->log->Warning("crash_alert_raised",
                          {{"server", m_entry.id.value()},
                           {"service", m_entry.service.value()},
                           {"services", alert.lost_services(now)}});
}

void BackendServer::ProbeNow(TimePoint now) {
  if (draining() || IsPaused(now) || m_health.down() || !HasConnection())
    return;
  const bool connecting = std::any_of(
      m_slots.begin(), m_slots.end(),
      [](const Slot& slot) { return !slot.connection->connected(); });
  if (connecting)
    return;
  m_health.StartProbe(now);
  OpenConnection();
}

void BackendServer::LogLoss(const Attempt& attempt, WireOutcome outcome) {
  const ServerConnection& connection = *attempt.connection;
  const char* const fault =
      connection.unclaimed() ? "unclaimed" : ToString(connection.fault());
  if (outcome != WireOutcome::kLost)
    m_context->metrics->CountInvalidReply(fault);
  m_context->log->Info(
      "attempt_lost",
      {{"request_id", attempt.request_id},
       {"fingerprint", ToHex(attempt.fingerprint)},
       {"server", m_entry.id.value()},
       {"service", m_entry.service.value()},
       {"started_at_ms", m_entry.started_at_ms},
       {"why",
        outcome == WireOutcome::kLost ? "connection_ended" : "invalid_reply"},
       {"fault", fault},
       {"age_ms", (m_context->loop->Now() - attempt.sent_at).count() / 1000}});
}

void BackendServer::MarkUnreachable(const char* why) {
  const TimePoint now = m_context->loop->Now();
  const bool was_down = m_health.down();
  m_health.OnUnreachable(now, m_context->Uniform());
  if (was_down)
    return;
  m_context->log->Warning(
      "server_down",
      {{"server", m_entry.id.value()},
       {"service", m_entry.service.value()},
       {"address", m_entry.address},
       {"why", why},
       {"last_reply_ms", (now - m_health.last_reply()).count() / 1000}});
}

void BackendServer::MarkReachable() {
  const bool was_down = m_health.down();
  m_health.OnConnected(m_context->loop->Now());
  if (was_down)
    m_context->log->Info("server_up", {{"server", m_entry.id.value()},
                                       {"service", m_entry.service.value()}});
}

// Logs once per pause, since several requests may reach the wrong server at the
// same time.
void BackendServer::RecordMisdirected(TimePoint now) {
  if (!m_availability.IsMisdirected(now))
    m_context->log->Warning("server_misdirected",
                            {{"server", m_entry.id.value()},
                             {"service", m_entry.service.value()},
                             {"address", m_entry.address},
                             {"pause_ms", kMisdirectedPause.count() / 1000}});
  m_health.OnRefusal(now);
  m_availability.OnMisdirected(now);
}

void BackendServer::OnRequestEnd(ServerConnection& connection,
                                 WireOutcome outcome) {
  Slot* slot = FindSlot(connection);
  if (slot == nullptr || slot->attempt == nullptr)
    return;
  const std::unique_ptr<Attempt> attempt = std::move(slot->attempt);
  --m_outstanding;
  const AttemptOutcome result = Classify(outcome, connection.reply());
  ReportCrashEvidence(*attempt, result, outcome);
  if (outcome == WireOutcome::kReply) {
    ApplyLeaving(result, connection.reply().headers());
    ApplyPause(result, connection.reply());
    ApplyLimit(result, connection.reply().headers());
  }
  RecordOutcome(*attempt, result);
  const bool keep_open = !draining();
  if (attempt->listener != nullptr) {
    attempt->listener->OnAttemptEnd(
        *attempt, result,
        outcome == WireOutcome::kReply ? &connection.reply() : nullptr);
  }
  if (!keep_open && connection.open() && !connection.busy()) {
    connection.Close();
    Remove(connection);
  }
}

void BackendServer::OnConnected(ServerConnection& /*connection*/) {
  m_context->metrics->CountConnect(false);
  m_context->crash_alert->OnServerAlive(m_key);
  MarkReachable();
}

void BackendServer::OnClosed(ServerConnection& connection, bool failed) {
  // A server at its limit of connections resets further ones, but it still
  // answers on those that it has. Without a request that says little.
  if (const Slot* slot = FindSlot(connection); slot && slot->warm_up) {
    Remove(connection);
    return;
  }
  if (connection.refused())
    ReportEnd();
  const TimePoint now = m_context->loop->Now();
  if (!draining() && connection.ended_idle() &&
      (now - connection.idle_since() < kMaxIdleOfLostServer ||
       m_context->crash_alert->IsActive(now))) {
    ReportLoss(now);
    if (m_context->crash_alert->IsActive(now))
      ProbeNow(now);
  }
  if (failed && connection.connected()) {
    m_health.OnBrokenConnection(now);
  } else if (failed) {
    m_context->metrics->CountConnect(true);
    MarkUnreachable("connect_failed");
  }
  Remove(connection);
}

}  // namespace wasabihook::gateway
