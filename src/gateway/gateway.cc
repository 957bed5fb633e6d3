#include "gateway/gateway.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "gateway/request_fingerprint.h"

namespace wasabihook::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Delay before a watch is opened again, as a share of the shorter of the bounds
// for drains and configuration changes. Leaves time for a slow store.
constexpr double kWatchRearmShare = 0.15;
// Share of the grace period in which idle connections of callers stay open
// after SIGTERM. Callers that send another request meanwhile get it answered
// with "Connection: close".
constexpr double kDrainIdleShare = 0.5;
// Time before SIGKILL by which every request gets its final answer, and time
// before it at which the program stops even if an answer is not yet sent.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(500);
constexpr Duration kStopReserve = std::chrono::milliseconds(150);
// A request that arrives less than this time before the last answers of a drain
// is rejected, since it would most likely be cut off.
constexpr Duration kMinDrainServiceTime = std::chrono::milliseconds(100);
constexpr Duration kDrainCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(2);
constexpr Duration kGaugePeriod = std::chrono::seconds(5);
constexpr Duration kExpirySweepPeriod = std::chrono::seconds(1);
// Value of Retry-After while no configuration is known.
constexpr const char* kUnconfiguredRetryAfterSeconds = "0.250";
// Value of Retry-After while the requests in flight take all memory they may.
constexpr const char* kOverloadRetryAfterSeconds = "0.200";

Duration RearmDelay(const ServiceBounds& bounds) {
  const Duration shorter = std::min(bounds.drain, bounds.config_apply);
  return Duration(static_cast<int64_t>(static_cast<double>(shorter.count()) *
                                       kWatchRearmShare));
}

// Keeps the cost of an entry that another writer has made within that of
// others.
void CheckEntrySize(const StoreItem& item) {
  if (item.value.size() > kMaxEntryBytes)
    throw std::runtime_error("the entry has " +
                             std::to_string(item.value.size()) + " bytes");
}

std::string ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Gateway::Gateway(EventLoop* loop,
                 GatewaySettings settings,
                 std::string settings_path,
                 PlatformAdapter platform,
                 std::unique_ptr<StoreCodec> codec,
                 RandomSource random)
    : m_loop(loop),
      m_settings(std::move(settings)),
      m_settings_path(std::move(settings_path)),
      m_settings_text(ReadText(m_settings_path)),
      m_platform(std::move(platform)),
      m_store_codec(std::move(codec)),
      m_log(loop),
      m_quarantine(
          [this](const QuarantineVerdict& verdict) { OnVerdict(verdict); }),
      m_limits([this] { return m_context.Uniform(); }),
      m_context{.loop = loop,
                .platform = &m_platform,
                .settings = &m_settings,
                .metrics = &m_metrics,
                .log = &m_log,
                .reply_bytes =
                    std::make_shared<BufferedBytes>(kMaxBufferedReplyBytes),
                .observer = &m_observations,
                .quarantine = &m_quarantine,
                .crash_alert = &m_crash_alert,
                .limits = &m_limits,
                .leaving = &m_leaving_servers,
                .team_demand = &m_team_demand,
                .fair_shares = &m_fair_shares,
                .paces = &m_paces,
                .evacuations = &m_evacuations,
                .allowance_marks = &m_allowance_marks,
                .answer_margin = &m_answer_margin,
                .random = std::move(random)},
      m_feed_selector(m_settings.instance, m_settings.data_centre),
      m_observations(&m_context, &m_feed_selector),
      m_directory(&m_context),
      m_allowances(&m_context),
      m_route_table_builder(&m_directory),
      m_caller_budget(ComputeCallerBounds(m_settings.memory_mb << 20,
                                          m_settings.max_descriptors)),
      m_caller_listener(loop,
                        m_settings.caller_address,
                        [this](InboundRequest request, Responder& responder) {
                          OnRequest(std::move(request), responder);
                        }),
      m_readiness_listener(
          loop,
          m_settings.readiness_address,
          [this](const InboundRequest& request, Responder& responder) {
            OnReadiness(request, responder);
          }),
      m_store_follower(
          &m_context,
          m_store_codec.get(),
          &m_feed_selector,
          RearmDelay(m_settings.bounds),
          {.on_listing =
               [this](const std::vector<StoreItem>& items,
                      StorePosition position) { OnListing(items, position); },
           .on_change = [this](const StoreItem& item) { OnChange(item); },
           .on_caught_up =
               [this](StorePosition position) { OnCaughtUp(position); },
           .on_store_contact = [this] { OnStoreContact(); },
           .on_store_unreachable =
               [this] {
                 if (m_change_feed != nullptr)
                   m_change_feed->SetStoreReachable(false);
               },
           .on_store_reachable =
               [this](Duration outage) {
                 if (outage >= kMinOutageForLeaseExpiry)
                   m_directory.OnLeasesLost();
                 if (m_change_feed != nullptr)
                   m_change_feed->SetStoreReachable(true);
               },
           .on_direct_changed =
               [this](bool direct) {
                 if (m_change_feed != nullptr)
                   m_change_feed->SetDirect(direct);
               }}),
      m_registration(&m_context, m_store_codec.get()),
      m_quarantine_publisher(&m_context, m_store_codec.get()) {
  if (!m_settings.metrics_address.empty()) {
    m_metrics_listener = std::make_unique<CallerListener>(
        loop, m_settings.metrics_address,
        [this](const InboundRequest& request, Responder& responder) {
          OnMetrics(request, responder);
        });
    m_metrics_listener->SetLimits({.max_body_bytes = kMaxProbeBodyBytes});
  }
  if (!m_settings.feed_address.empty())
    m_change_feed = std::make_unique<ChangeFeed>(loop, m_settings.feed_address);
  if (m_change_feed != nullptr)
    m_change_feed->SetCallHandler(
        [this](const InboundRequest& request, Responder& responder) {
          return OnInstanceCall(request, responder);
        });
  m_caller_listener.SetBudget(&m_caller_budget);
  m_readiness_listener.SetBudget(&m_caller_budget);
  m_readiness_listener.SetLimits({.max_body_bytes = kMaxProbeBodyBytes});
  m_caller_listener.SetHeadCheck(
      [this](std::string_view target, const HeaderList& headers) {
        return ExamineHead(target, headers).rejection;
      });
  m_log.Info("started", {{"instance", m_settings.instance.value()},
                         {"data_centre", m_settings.data_centre.value()},
                         {"caller_address", m_settings.caller_address},
                         {"store_address", m_settings.store_address}});
  m_loop->SetErrorHook([this](const std::exception& error) {
    m_log.Warning("unexpected_error", {{"reason", error.what()}});
  });
  m_observations.SetAllowanceHook(
      [this](const std::vector<AllowanceMark>& marks) {
        m_allowances.OnMarks(marks);
      });
  m_allowances.SetNewsHook([this] { m_observations.ExchangeSoon(); });
  m_quarantine.SetNewsHook([this] { m_observations.ExchangeSoon(); });
  m_quarantine.SetClearanceHook([this](const QuarantineClearance& clearance) {
    m_metrics.CountQuarantine("cleared");
    m_log.Info("request_cleared",
               {{"fingerprint", ToHex(clearance.fingerprint)},
                {"crashes", clearance.crashes},
                {"age_ms",
                 (m_loop->Now() - clearance.last_answer_at).count() / 1000}});
  });
  m_store_follower.Start();
  const auto every = [this](Duration period, std::function<void()> step) {
    m_timers.push_back(m_loop->SubscribeEvery(period, std::move(step)));
  };
  every(kSettingsCheckPeriod, [this] { CheckSettingsFile(); });
  every(kGaugePeriod, [this] { UpdateGauges(); });
  every(kExpirySweepPeriod, [this] {
    m_quarantine.Sweep(m_loop->Now());
    m_limits.Sweep(m_loop->Now());
    m_leaving_servers.Sweep(m_loop->Now());
    m_allowance_marks.Sweep(m_loop->Now());
    m_evacuations.Sweep(m_loop->Now());
    if (m_has_listing)
      UpdateAllowanceOwners(m_allowance_estimate);
    m_allowances.Sweep();
  });
}

Gateway::~Gateway() {
  for (const TimerHandle timer : m_timers)
    m_loop->Unsubscribe(timer);
  if (m_cleanup_timer)
    m_loop->Unsubscribe(*m_cleanup_timer);
  m_loop->SetErrorHook(nullptr);
}

bool Gateway::ready() const {
  return m_has_listing && m_routes != nullptr && !m_drain_started;
}

void Gateway::OnReadiness(const InboundRequest& /*request*/,
                          Responder& responder) {
  responder.Respond({.status = ready() ? kOk : kUnavailable});
}

bool Gateway::OnInstanceCall(const InboundRequest& request,
                             Responder& responder) {
  const bool is_allowance = IsAllowanceCall(request.target);
  if (!is_allowance && !IsObservationCall(request.target))
    return false;
  try {
    responder.Respond(
        {.body = is_allowance
                     ? m_allowances.OnCall(request.target, request.body)
                     : m_observations.OnCall(request.target, request.body)});
  } catch (const std::exception& error) {
    m_log.Warning("fleet_message_invalid",
                  {{"target", request.target}, {"reason", error.what()}});
    responder.Respond({.status = kBadRequest});
  }
  return true;
}

void Gateway::OnMetrics(const InboundRequest& /*request*/,
                        Responder& responder) {
  UpdateGauges();
  responder.Respond(
      {.status = kOk,
       .header_lines = "Content-Type: text/plain; version=0.0.4\r\n",
       .body = m_metrics.Serialise()});
}

OutboundResponse Gateway::Reject(const HeaderList& headers,
                                 int status,
                                 const char* why,
                                 const char* retry_after_s) {
  m_metrics.CountRejected(why);
  m_log.Info(
      "request_refused",
      {{"request_id", std::string(headers.Find(m_platform.headers.request_id))},
       {"status", status},
       {"version", m_routes != nullptr ? m_routes->version().value() : 0},
       {"key", KeyDigest(headers.Find(m_platform.headers.api_key))},
       {"why", why}});
  OutboundResponse out{.status = status};
  if (retry_after_s != nullptr)
    out.header_lines =
        m_platform.headers.retry_after + ": " + retry_after_s + "\r\n";
  return out;
}

Gateway::HeadDecision Gateway::ExamineHead(std::string_view target,
                                           const HeaderList& headers) {
  HeadDecision out;
  if (!m_has_listing || m_routes == nullptr) {
    out.rejection = Reject(headers, kUnavailable, "no_configuration",
                           kUnconfiguredRetryAfterSeconds);
    return out;
  }
  if (m_context.answer_by &&
      m_loop->Now() + kMinDrainServiceTime >= *m_context.answer_by) {
    out.rejection =
        Reject(headers, kUnavailable, "draining", kDrainRetryAfterSeconds);
    return out;
  }
  out.route =
      m_routes->Find(headers.Find("Host"), target.substr(0, target.find('?')));
  if (out.route == nullptr) {
    out.rejection = Reject(headers, kNotFound, "no_route");
    return out;
  }
  if (headers.Find(m_platform.headers.request_id).empty()) {
    out.rejection = Reject(headers, kBadRequest, "no_request_id");
    return out;
  }
  CallerIdentity caller =
      IdentifyCaller(m_routes->teams(), headers, m_platform.headers.api_key,
                     out.route->config.is_public);
  if (caller.status != CallerStatus::kAccepted)
    out.rejection = Reject(headers, kUnauthorized, ToString(caller.status));
  out.team = std::move(caller.team);
  return out;
}

void Gateway::OnRequest(InboundRequest request, Responder& responder) {
  HeadDecision head = ExamineHead(request.target, *request.headers);
  if (head.rejection) {
    responder.Respond(std::move(*head.rejection));
    return;
  }
  AdmitTeam({.request = std::move(request),
             .responder = &responder,
             .head = std::move(head)});
}

void Gateway::AdmitTeam(HeldRequest request) {
  if (request.head.team == nullptr) {
    OnAllowance(request, {.admitted = true});
    return;
  }
  const auto held = std::make_shared<AllowanceExchange::WaitId>(0);
  const auto admission =
      m_allowances.Admit(request.head.team, request.head.route->version,
                         [this, held](const AllowanceVerdict& verdict) {
                           if (auto found = m_held_requests.extract(*held))
                             OnAllowance(found.mapped(), verdict);
                         });
  if (admission.verdict) {
    OnAllowance(request, *admission.verdict);
    return;
  }
  *held = admission.wait;
  request.responder->SetDisconnectHook([this, id = admission.wait] {
    m_allowances.Cancel(id);
    m_held_requests.erase(id);
  });
  m_held_requests.emplace(admission.wait, std::move(request));
}

void Gateway::OnAllowance(HeldRequest& request,
                          const AllowanceVerdict& verdict) {
  if (verdict.admitted) {
    StartExchange(std::move(request.request), *request.responder,
                  std::move(request.head.route), request.head.team);
    return;
  }
  char seconds[32];
  std::snprintf(seconds, sizeof(seconds), "%.3f",
                static_cast<double>(verdict.retry_after.count()) / 1e6);
  m_log.Info("allowance_exceeded",
             {{"request_id", std::string(request.request.headers->Find(
                                 m_platform.headers.request_id))},
              {"team", request.head.team->id.value()},
              {"rate_per_s", request.head.team->allowance.rate},
              {"retry_after_s", seconds}});
  request.responder->Respond(
      Reject(*request.request.headers, kTooManyRequests, "allowance", seconds));
}

void Gateway::StartExchange(InboundRequest request,
                            Responder& responder,
                            RoutePtr route,
                            const TeamPtr& team) {
  const ConfigVersion version = route->version;
  const size_t parts = route->scatters() ? route->services.size() : 1;
  if ((m_parts_in_flight + parts) * kPartBytes >
      m_caller_budget.bounds().bytes) {
    if (team != nullptr)
      m_allowances.Return(team, version);
    responder.Respond(Reject(*request.headers, kUnavailable, "memory",
                             kOverloadRetryAfterSeconds));
    return;
  }
  m_parts_in_flight += parts;
  auto exchange = std::make_unique<Exchange>(
      &m_context, std::move(route), team, std::move(request), &responder,
      [this, team, version, parts](Exchange* done) {
        m_parts_in_flight -= parts;
        if (team != nullptr && !done->MayHaveRun())
          m_allowances.Return(team, version);
        // The exchange may be on the call stack, so it is destroyed later.
        const auto found = m_exchanges.find(done);
        m_finished_exchanges.push_back(std::move(found->second));
        m_exchanges.erase(found);
        if (!m_cleanup_timer)
          m_cleanup_timer = m_loop->SubscribeOnce(Duration(0), [this] {
            m_cleanup_timer.reset();
            m_finished_exchanges.clear();
          });
      });
  Exchange* started = exchange.get();
  m_exchanges.emplace(started, std::move(exchange));
  started->Start();
}

void Gateway::OnListing(const std::vector<StoreItem>& items,
                        StorePosition position) {
  const bool restored = m_has_listing && position.era > m_store_position.era;
  m_store_position = position;
  // Leases may have expired with the keys that the copy lacks.
  if (restored)
    m_directory.OnLeasesLost();
  std::vector<ServerId> servers;
  std::set<DataCentreId> evacuated;
  m_feed_selector.RemoveAllInstances(m_loop->Now());
  for (const StoreItem& item : items) {
    if (m_platform.classify_key(item.key) == KeyKind::kServer)
      servers.push_back(m_platform.parse_server_id(item.key));
    if (m_platform.classify_key(item.key) == KeyKind::kEvacuation)
      evacuated.insert(m_platform.parse_evacuation(item.key));
    ApplyItem(item);
  }
  m_evacuations.Reconcile(evacuated, restored, m_loop->Now());
  m_directory.Reconcile(servers, position);
  ReconcileQuarantine(items, position.era);
  CountInstances();
  if (m_change_feed != nullptr) {
    m_change_feed->Reset(items, position);
    m_change_feed->SetStoreReachable(true);
  }
  m_log.Info("store_listed", {{"keys", items.size()},
                              {"servers", servers.size()},
                              {"era", position.era.value()},
                              {"restored", restored},
                              {"revision", position.revision.value()}});
  if (restored)
    m_registration.OnStoreRestored();
  if (!std::exchange(m_has_listing, true)) {
    m_observations.ExchangeSoon();
    const bool replaces_entry = m_feed_selector.Has(m_settings.instance);
    m_fleet_size.OnRegistering(m_loop->Now(), replaces_entry);
    m_registration.Start(
        EncodeInstance({.data_centre = m_settings.data_centre,
                        .feed_address = m_change_feed != nullptr
                                            ? m_change_feed->address()
                                            : ""}),
        replaces_entry);
    CountInstances();
  }
}

void Gateway::OnCaughtUp(StorePosition position) {
  m_store_position = position;
  CountInstances();
  if (m_change_feed != nullptr)
    m_change_feed->Publish(position);
}

void Gateway::OnChange(const StoreItem& item) {
  if (m_change_feed != nullptr)
    m_change_feed->Add(item);
  ApplyItem(item);
}

void Gateway::ApplyItem(const StoreItem& item) {
  switch (m_platform.classify_key(item.key)) {
    case KeyKind::kRouting:
      ApplyRouting(item);
      break;
    case KeyKind::kServer:
      ApplyServer(item);
      break;
    case KeyKind::kInstance:
      ApplyInstance(item);
      break;
    case KeyKind::kQuarantine:
      ApplyQuarantine(item);
      break;
    case KeyKind::kEvacuation:
      ApplyEvacuation(item);
      break;
    case KeyKind::kOther:
      break;
  }
}

void Gateway::ApplyEvacuation(const StoreItem& item) {
  const DataCentreId data_centre = m_platform.parse_evacuation(item.key);
  const bool changed = item.removed ? m_evacuations.End(data_centre)
                                    : m_evacuations.Begin(data_centre);
  if (changed)
    m_log.Info(item.removed ? "evacuation_ended" : "evacuation_in_force",
               {{"data_centre", data_centre.value()},
                {"revision", item.revision.value()}});
}

void Gateway::OnVerdict(const QuarantineVerdict& verdict) {
  m_log.Warning(
      "request_quarantined",
      {{"fingerprint", ToHex(verdict.fingerprint)},
       {"servers", verdict.servers},
       {"caller_attempts", verdict.caller_attempts},
       {"span_ms", verdict.span.count() / 1000},
       {"age_ms", verdict.age.count() / 1000},
       {"expires_in_ms", (verdict.expires - m_loop->Now()).count() / 1000}});
  m_metrics.CountQuarantine("verdict");
  m_quarantine_publisher.Publish(verdict.fingerprint, verdict.expires);
}

void Gateway::ApplyQuarantine(const StoreItem& item) {
  const std::optional<Fingerprint> fingerprint = ParseFingerprint(
      std::string_view(item.key).substr(m_platform.quarantine_prefix.size()));
  if (!fingerprint) {
    m_log.Warning("quarantine_entry_invalid", {{"key", item.key}});
    return;
  }
  if (item.removed) {
    m_listed_quarantine.erase(*fingerprint);
    const bool holds = m_quarantine_publisher.OnRemoved(*fingerprint);
    m_metrics.CountQuarantine(holds ? "rewritten" : "ended");
    m_log.Info("quarantine_unlisted", {{"fingerprint", ToHex(*fingerprint)},
                                       {"holds", holds},
                                       {"revision", item.revision.value()}});
    if (!holds)
      m_quarantine.Remove(*fingerprint);
    return;
  }
  QuarantineRecord record;
  try {
    CheckEntrySize(item);
    record = DecodeQuarantine(item.value);
  } catch (const std::exception& error) {
    m_log.Warning("quarantine_entry_invalid",
                  {{"key", item.key}, {"reason", error.what()}});
    return;
  }
  const std::optional<Duration> left =
      m_quarantine_publisher.OnListed(*fingerprint, record);
  if (record.released)
    m_quarantine.Release(*fingerprint, m_loop->Now());
  else if (left)
    m_quarantine.Add(*fingerprint, m_loop->Now() + *left);
  if (m_listed_quarantine.insert(*fingerprint).second || record.released) {
    m_metrics.CountQuarantine(record.released ? "released" : "listed");
    m_log.Info("quarantine_listed",
               {{"fingerprint", ToHex(*fingerprint)},
                {"released", record.released},
                {"in_force", left && !record.released},
                {"left_ms", left.value_or(Duration(0)).count() / 1000},
                {"revision", item.revision.value()}});
  }
}

void Gateway::ReconcileQuarantine(const std::vector<StoreItem>& items,
                                  StoreEra era) {
  std::set<Fingerprint> present;
  for (const StoreItem& item : items) {
    if (m_platform.classify_key(item.key) != KeyKind::kQuarantine)
      continue;
    if (const auto fingerprint =
            ParseFingerprint(std::string_view(item.key).substr(
                m_platform.quarantine_prefix.size())))
      present.insert(*fingerprint);
  }
  const std::set<Fingerprint> listed = m_listed_quarantine;
  for (const Fingerprint fingerprint : listed) {
    if (!present.contains(fingerprint))
      ApplyQuarantine({.key = m_platform.quarantine_prefix + ToHex(fingerprint),
                       .value = "",
                       .revision = {},
                       .removed = true});
  }
  m_quarantine_publisher.OnListing(present, era);
}

void Gateway::ApplyRouting(const StoreItem& item) {
  if (item.removed)
    return;
  try {
    RoutingConfig config = m_platform.decode_routing(item.value);
    if (m_routes != nullptr && config.version <= m_routes->version())
      return;
    m_routes = m_route_table_builder.Build(std::move(config));
  } catch (const std::exception& error) {
    m_log.Warning("configuration_invalid", {{"key", item.key},
                                            {"revision", item.revision.value()},
                                            {"reason", error.what()}});
    return;
  }
  m_caller_listener.SetLimits(m_routes->limits());
  m_metrics.SetConfigVersion(m_routes->version().value());
  m_log.Info("configuration_in_force",
             {{"version", m_routes->version().value()},
              {"routes", m_routes->size()},
              {"teams", m_routes->teams().teams()},
              {"keys", m_routes->teams().keys()},
              {"revision", item.revision.value()}});
}

void Gateway::ApplyServer(const StoreItem& item) {
  const ServerId id = m_platform.parse_server_id(item.key);
  if (item.removed) {
    m_directory.Remove(id, item.position());
    return;
  }
  try {
    CheckEntrySize(item);
    m_directory.Apply(m_platform.decode_server(id, item.value), item.position(),
                      !item.listed    ? EntrySource::kChange
                      : m_has_listing ? EntrySource::kListing
                                      : EntrySource::kFirstListing);
  } catch (const std::exception& error) {
    m_metrics.CountServerEntry("invalid");
    m_log.Warning("server_entry_invalid", {{"server", id.value()},
                                           {"revision", item.revision.value()},
                                           {"reason", error.what()}});
    // The previous entry may be out of date, so the server is not used.
    m_directory.Remove(id, item.position());
  }
}

void Gateway::ApplyInstance(const StoreItem& item) {
  const InstanceId id(item.key.substr(m_platform.instance_prefix.size()));
  if (item.removed) {
    m_feed_selector.RemoveInstance(id, m_loop->Now());
    if (id == m_settings.instance)
      m_registration.OnEntryRemoved();
    return;
  }
  try {
    CheckEntrySize(item);
    m_feed_selector.SetInstance(id, DecodeInstance(item.value));
  } catch (const std::exception& error) {
    m_log.Warning("instance_entry_invalid",
                  {{"instance", id.value()}, {"reason", error.what()}});
  }
}

void Gateway::CountInstances() {
  m_feed_selector.Prune(m_loop->Now());
  const auto listed = static_cast<uint32_t>(m_feed_selector.other_count() + 1);
  m_directory.SetInstanceCount(listed);
  m_limits.SetInstances(m_fleet_size.Estimate(listed));
  UpdateAllowanceOwners(m_fleet_size.Estimate(listed));
}

void Gateway::UpdateAllowanceOwners(uint32_t estimate) {
  if (m_feed_selector.Has(m_settings.instance))
    m_fleet_size.OnListed(m_loop->Now());
  const bool may_hold_portions =
      m_fleet_size.IsListedFor(kAllowancePortionHandover, m_loop->Now());
  if (m_owners_generation == m_feed_selector.generation() &&
      m_allowance_estimate == estimate &&
      m_may_hold_portions == may_hold_portions)
    return;
  m_may_hold_portions = may_hold_portions;
  m_owners_generation = m_feed_selector.generation();
  m_allowance_estimate = estimate;
  std::vector<AllowanceOwner> owners;
  for (const auto& [id, record] : m_feed_selector.instances()) {
    if (!record.feed_address.empty() && id != m_settings.instance)
      owners.push_back({.id = id, .address = record.feed_address});
  }
  if (m_change_feed != nullptr)
    owners.push_back(
        {.id = m_settings.instance, .address = m_change_feed->address()});
  m_allowances.SetInstances(std::move(owners), estimate, may_hold_portions);
}

void Gateway::OnStoreContact() {
  if (m_fleet_size.known())
    return;
  m_fleet_size.OnStoreContact(m_loop->Now());
  if (!m_fleet_size.known())
    return;
  CountInstances();
  m_log.Info("fleet_known", {{"instances", m_feed_selector.other_count() + 1}});
}

void Gateway::UpdateGauges() {
  m_metrics.SetServers(m_directory.usable(), m_directory.known());
  for (const auto& [availability, count] : m_directory.CountByAvailability())
    m_metrics.SetServersOfState(ToString(availability), count);
  m_metrics.SetCallerUse(m_caller_budget.bytes(), m_caller_budget.given_up());
  m_metrics.SetTeams(m_routes != nullptr ? m_routes->teams().teams() : 0,
                     m_fair_shares.teams(), m_allowances.ledgers());
  m_metrics.SetPaces(m_paces.known());
  m_metrics.SetEvacuations(m_evacuations.size());
  m_metrics.SetReady(ready());
  m_metrics.SetLimitedServers(m_limits.limited());
  m_metrics.SetQuarantine(m_quarantine.quarantined(), m_quarantine.suspects());
  m_metrics.SetCallerConnections(m_caller_listener.connections());
  m_metrics.SetLogLinesDropped(m_log.dropped());
  if (m_change_feed != nullptr)
    m_metrics.SetFeedHistoryBytes(m_change_feed->history_bytes());
}

void Gateway::BeginDrain() {
  if (m_drain_started)
    return;
  m_drain_started = m_loop->Now();
  m_caller_listener.BeginDrain();
  m_context.answer_by =
      *m_drain_started + m_settings.bounds.grace - kAnswerReserve;
  for (const auto& [key, exchange] : m_exchanges)
    exchange->EndBy(*m_context.answer_by);
  m_log.Info("drain_started",
             {{"in_flight", m_caller_listener.in_flight()},
              {"connections", m_caller_listener.connections()}});
  m_timers.push_back(
      m_loop->SubscribeEvery(kDrainCheckPeriod, [this] { CheckDrained(); }));
}

void Gateway::CheckDrained() {
  const Duration age = m_loop->Now() - *m_drain_started;
  const Duration grace = m_settings.bounds.grace;
  const auto idle_time = Duration(static_cast<int64_t>(
      static_cast<double>(grace.count()) * kDrainIdleShare));
  if (age >= idle_time)
    m_caller_listener.CloseIdle();
  // The socket stays open until the end, since its backlog may hold
  // connections whose requests were already sent.
  m_caller_listener.AcceptPending();
  const bool empty = age >= idle_time && m_caller_listener.connections() == 0;
  if (!empty && age < grace - kStopReserve)
    return;
  m_log.Info("stopped", {{"in_flight", m_caller_listener.in_flight()},
                         {"after_ms", age.count() / 1000}});
  m_loop->Stop();
}

void Gateway::RequestReload() {
  const std::string text = ReadText(m_settings_path);
  if (text == m_settings_text) {
    m_log.Info("reloaded", {{"changed", false}});
    return;
  }
  try {
    const GatewaySettings fresh = ParseGatewaySettings(text, m_settings_path);
    m_settings_text = text;
    if (fresh.caller_address != m_settings.caller_address ||
        fresh.store_address != m_settings.store_address)
      m_log.Warning("restart_needed",
                    {{"reason", "the caller or store address has changed"}});
    m_settings.bounds = fresh.bounds;
    m_directory.UpdateServiceShares();
    m_log.Info("reloaded", {{"changed", true}});
  } catch (const std::exception& error) {
    m_log.Warning("reload_failed", {{"reason", error.what()}});
  }
}

void Gateway::CheckSettingsFile() {
  if (ReadText(m_settings_path) != m_settings_text)
    RequestReload();
}

}  // namespace wasabihook::gateway
