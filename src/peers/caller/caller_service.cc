#include "peers/caller/caller_service.h"

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

#include "peers/caller/caller_codec.h"
#include "runtime/logging.h"
#include "wasabihook/config.h"

namespace wasabihook::caller {
namespace {

// An unknown team's name is arbitrary caller data and is not logged.
std::string TeamForLog(const ErrorAnswer& error, const CallerRequest& request) {
  return error.code == ErrorCode::kUnknownTeam ? "" : request.team.value();
}

void LogReply(const Reply& reply,
              const CallerRequest& request,
              Duration latency) {
  const int64_t micros = latency.count();
  if (const auto* error = std::get_if<ErrorAnswer>(&reply)) {
    Log(LogLevel::kInfo, "request_failed", request.id,
        {{"team", TeamForLog(*error, request)},
         {"kind", ToString(request.kind)},
         {"error", ToString(error->code)},
         {"run_state", ToString(error->run_state)},
         {"latency_us", micros}});
    return;
  }
  const auto& answer = std::get<Answer>(reply);
  Log(LogLevel::kDebug, "request_answered", request.id,
      {{"team", request.team.value()},
       {"kind", ToString(request.kind)},
       {"groups_asked", answer.coverage.groups_asked},
       {"groups_covered", answer.coverage.groups_covered},
       {"replayed", answer.replayed},
       {"latency_us", micros}});
}

ErrorAnswer NoSettingsError(const RequestId& id) {
  return {.request_id = id,
          .code = ErrorCode::kNoSettings,
          .run_state = RunState::kNotRun,
          .message = "This instance does not know the settings yet.",
          .retry_after = config::kNoSettingsRetryDelay};
}

}  // namespace

class CallerService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(CallerServiceOptions options) : m_options(std::move(options)) {}

  void Handle(const HttpRequest& request, HttpResponder responder) {
    const RequestId id = DecodeRequestId(request).value_or(GenerateId());
    try {
      CallerRequest decoded = DecodeRequest(request, id);
      if (m_options.has_settings())
        Submit(std::move(decoded), request, std::move(responder));
      else
        responder(EncodeError(NoSettingsError(id)));
    } catch (const InvalidRequest& error) {
      m_options.on_invalid(error.status());
      Log(LogLevel::kInfo, "request_invalid", id,
          {{"status", error.status()}, {"reason", error.what()}});
      responder(EncodeInvalid(id, error));
    }
  }

  std::vector<RequestId> InFlight() const {
    std::lock_guard lock(m_mutex);
    std::vector<RequestId> ids;
    for (const auto& [number, id] : m_in_flight)
      ids.push_back(id);
    return ids;
  }

 private:
  RequestId GenerateId() {
    char text[33];
    std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64,
                  m_options.random(), m_options.random());
    return RequestId(text);
  }

  void Submit(CallerRequest request,
              const HttpRequest& http,
              HttpResponder responder) {
    uint64_t number = 0;
    {
      std::lock_guard lock(m_mutex);
      number = m_next_number++;
      m_in_flight.emplace(number, request.id);
    }
    // Copied for the log without the payload.
    CallerRequest summary;
    summary.id = request.id;
    summary.team = request.team;
    summary.kind = request.kind;
    const TimePoint start = m_options.timers->Now();
    const QueryHandle handle = m_options.tier->Submit(
        std::move(request),
        [self = shared_from_this(), number, start, summary = std::move(summary),
         responder = std::move(responder)](const Reply& reply) {
          self->Finish(number);
          LogReply(reply, summary, self->m_options.timers->Now() - start);
          responder(EncodeReply(reply));
        });
    if (http.set_close_callback)
      http.set_close_callback([weak = weak_from_this(), number, handle] {
        if (const auto self = weak.lock())
          self->OnCallerDisconnected(number, handle);
      });
  }

  // Called when the caller closes its connection. Cancels the query if it is
  // still in flight.
  void OnCallerDisconnected(uint64_t number, QueryHandle handle) {
    std::optional<RequestId> id;
    {
      std::lock_guard lock(m_mutex);
      if (const auto found = m_in_flight.find(number);
          found != m_in_flight.end()) {
        id = found->second;
        m_in_flight.erase(found);
      }
    }
    if (!id)
      return;
    Log(LogLevel::kInfo, "request_abandoned", *id);
    m_options.tier->Cancel(handle);
  }

  void Finish(uint64_t number) {
    std::lock_guard lock(m_mutex);
    m_in_flight.erase(number);
  }

  const CallerServiceOptions m_options;
  mutable std::mutex m_mutex;
  uint64_t m_next_number = 1;
  std::map<uint64_t, RequestId> m_in_flight;
};

CallerService::CallerService(CallerServiceOptions options)
    : m_impl(std::make_shared<Impl>(std::move(options))) {}

CallerService::~CallerService() = default;

void CallerService::Handle(const HttpRequest& request,
                           HttpResponder responder) {
  m_impl->Handle(request, std::move(responder));
}

std::vector<RequestId> CallerService::InFlight() const {
  return m_impl->InFlight();
}

}  // namespace wasabihook::caller
