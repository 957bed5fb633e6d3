#include "runtime/daemon.h"

#include <algorithm>
#include <utility>

#include "runtime/logging.h"
#include "runtime/status.h"

namespace wasabihook {
namespace {

// Aborted requests that are logged with their id; the others are only counted.
constexpr size_t kMaxLoggedAbortedRequests = 100;

HttpListenerOptions CallerOptions(const StartConfig& config) {
  HttpListenerOptions options;
  options.address = config.caller_address;
  options.threads = config.caller_threads;
  options.max_body_bytes = config.max_body_bytes;
  options.max_header_bytes = config.max_header_bytes;
  options.max_connections = config.max_connections;
  options.idle_timeout = config.idle_timeout;
  return options;
}

HttpListenerOptions AdminOptions(const StartConfig& config) {
  HttpListenerOptions options;
  options.address = config.admin_address;
  options.threads = 1;
  return options;
}

HttpResponse PlainTextResponse(int status, std::string text) {
  return {.status = status,
          .body = std::move(text),
          .content_type = "text/plain; charset=utf-8"};
}

}  // namespace

Daemon::Daemon(StartConfig config, std::string version)
    : m_config(std::move(config)),
      m_version(std::move(version)),
      m_components(m_config),
      m_callers({.tier = m_components.tier.get(),
                 .timers = &m_components.timers,
                 .random = m_components.random,
                 .has_settings = [this] { return has_settings(); },
                 .on_invalid =
                     [this](int status) {
                       m_components.metrics.RecordInvalidRequest(status);
                     }}) {
  AddSampledMetrics();
  m_admin_listener = std::make_unique<HttpListener>(
      AdminOptions(m_config),
      [this](const HttpRequest& request, const HttpResponder& responder) {
        HandleAdmin(request, responder);
      });
  m_caller_listener = std::make_unique<HttpListener>(
      CallerOptions(m_config),
      [this](const HttpRequest& request, HttpResponder responder) {
        HandleCaller(request, std::move(responder));
      });
  Log(LogLevel::kInfo, "started",
      {{"instance", m_config.instance.value()},
       {"data_centre", m_config.data_centre.value()},
       {"incarnation", std::to_string(m_components.incarnation.value())},
       {"version", m_version},
       {"caller_address", caller_address()},
       {"peer_address", m_components.peer_listener->address()},
       {"admin_address", admin_address()}});
}

Daemon::~Daemon() = default;

const std::string& Daemon::caller_address() const {
  return m_caller_listener->address();
}

const std::string& Daemon::peer_address() const {
  return m_components.peer_listener->address();
}

const std::string& Daemon::admin_address() const {
  return m_admin_listener->address();
}

bool Daemon::ready() const {
  return !m_shutdown.requested() && has_settings();
}

bool Daemon::has_settings() const {
  return m_components.settings.GreatestRevision().value() > 0;
}

bool Daemon::HandleMonitoring(const HttpRequest& request,
                              const HttpResponder& responder) {
  if (request.method != "GET")
    return false;
  if (request.path == "/healthz") {
    responder(PlainTextResponse(200, "ok\n"));
  } else if (request.path == "/readyz") {
    const bool is_ready = ready();
    responder(is_ready ? PlainTextResponse(200, "ready\n")
                       : PlainTextResponse(503, m_shutdown.requested()
                                                    ? "draining\n"
                                                    : "no settings\n"));
  } else if (request.path == "/metrics") {
    responder({.status = 200,
               .body = m_components.metrics.Serialise(),
               .content_type = Metrics::kContentType});
  } else {
    return false;
  }
  return true;
}

void Daemon::HandleCaller(const HttpRequest& request, HttpResponder responder) {
  if (!HandleMonitoring(request, responder))
    m_callers.Handle(request, std::move(responder));
}

void Daemon::HandleAdmin(const HttpRequest& request,
                         const HttpResponder& responder) {
  if (HandleMonitoring(request, responder))
    return;
  if (request.path != "/v1/status") {
    responder(PlainTextResponse(404, "not found\n"));
    return;
  }
  if (request.method != "GET") {
    responder(PlainTextResponse(405, "GET only\n"));
    return;
  }
  responder({.status = 200,
             .body = EncodeStatus(m_components, m_config,
                                  {.version = m_version,
                                   .ready = ready(),
                                   .draining = m_shutdown.requested()})});
}

// Fleet settings override the startup configuration once they are loaded.
Duration Daemon::DrainNotice() const {
  const FleetSettingsPtr fleet = m_components.settings.Fleet();
  return fleet->revision.value() > 0 ? fleet->drain_notice
                                     : m_config.drain_notice;
}

Duration Daemon::DrainLimit() const {
  const FleetSettingsPtr fleet = m_components.settings.Fleet();
  return fleet->revision.value() > 0 ? fleet->drain_limit
                                     : m_config.drain_limit;
}

void Daemon::RequestShutdown() {
  m_shutdown.Request();
}

int Daemon::Wait() {
  m_shutdown.WaitForRequest();
  const Duration notice = DrainNotice();
  const Duration limit = DrainLimit();
  const TimePoint deadline = m_components.timers.Now() + notice + limit;
  Log(LogLevel::kInfo, "drain_started",
      {{"notice_ms", notice.count() / 1000},
       {"limit_ms", limit.count() / 1000},
       {"in_flight", m_components.tier->in_flight()}});
  m_caller_listener->CloseAfterResponse();
  m_components.membership->Leave([] {});
  m_components.sync->NotifyPeers();
  m_shutdown.WaitUntil(notice, [] { return false; });
  m_components.tier->Drain([this] {
    m_drained = true;
    m_shutdown.Wake();
  });
  const bool drained =
      m_shutdown.WaitUntil(deadline - m_components.timers.Now(),
                           [this] { return m_drained.load(); });
  if (!drained)
    LogAbortedRequests();
  const Duration remaining =
      drained ? std::max(Duration(0), deadline - m_components.timers.Now())
              : Duration(0);
  const size_t aborted = m_caller_listener->Stop(remaining);
  HandOver();
  m_admin_listener->Stop(Duration(0));
  Log(LogLevel::kInfo, "stopped", {{"drained", drained}, {"cut", aborted}});
  FlushLog();
  return drained && aborted == 0 ? kExitDrained : kExitRequestsAborted;
}

// Stores the data that only this instance holds, operation outcomes and burn
// counts, before the process exits.
void Daemon::HandOver() {
  auto handed_over = std::make_shared<std::atomic<bool>>(false);
  m_components.aggregator->HandOver([this, handed_over](bool /*durable*/) {
    *handed_over = true;
    m_shutdown.Wake();
  });
  const auto done = [this, handed_over] {
    return handed_over->load() && m_components.claims.unfinished() == 0;
  };
  const TimePoint deadline =
      m_components.timers.Now() + config::kHandOverTimeout;
  while (!m_shutdown.WaitUntil(config::kHandOverPollPeriod, done) &&
         !m_shutdown.forced() && m_components.timers.Now() < deadline) {
  }
  if (!done())
    Log(LogLevel::kWarning, "hand_over_incomplete",
        {{"burn_counts", !handed_over->load()},
         {"claims", m_components.claims.unfinished()}});
}

void Daemon::LogAbortedRequests() const {
  const std::vector<RequestId> ids = m_callers.InFlight();
  Log(LogLevel::kWarning, "drain_cut",
      {{"reason", m_shutdown.forced() ? "second_signal" : "drain_limit"},
       {"cut", ids.size()}});
  for (size_t i = 0; i < std::min(ids.size(), kMaxLoggedAbortedRequests); ++i)
    Log(LogLevel::kWarning, "request_cut", ids[i]);
}

}  // namespace wasabihook
