#include "peers/caller/caller_codec.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "wasabihook/config.h"

namespace wasabihook::caller {
namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;

[[noreturn]] void Refuse(const std::string& message, int status = kBadRequest) {
  throw InvalidRequest(status, message);
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsToken(std::string_view text, size_t max_size) {
  return !text.empty() && text.size() <= max_size && IsPrintable(text);
}

// Refuses what the parser accepts silently: repeated members, whose meaning
// differs between readers, and nesting that would exhaust the stack.
class StrictEvents {
 public:
  bool operator()(int depth, json::parse_event_t event, json& value) {
    if (depth > config::kMaxJsonDepth)
      Refuse("The body is nested too deeply.");
    if (event == json::parse_event_t::object_start)
      m_members.emplace_back();
    else if (event == json::parse_event_t::object_end)
      m_members.pop_back();
    else if (event == json::parse_event_t::key &&
             !m_members.back().insert(value.get<std::string>()).second)
      Refuse("The body has a repeated member.");
    return true;
  }

 private:
  std::vector<std::set<std::string>> m_members;
};

json ParseBody(const std::string& body) {
  StrictEvents events;
  json parsed;
  try {
    parsed = json::parse(body, std::ref(events));
  } catch (const json::exception&) {
    Refuse("The body is not valid JSON.");
  }
  if (!parsed.is_object())
    Refuse("The body is not a JSON object.");
  return parsed;
}

void CheckMembers(const json& body,
                  std::initializer_list<std::string_view> allowed) {
  for (const auto& [name, value] : body.items()) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
      Refuse("The body has an unknown member.");
  }
}

const json& Member(const json& body, const std::string& name) {
  if (const auto found = body.find(name); found != body.end())
    return *found;
  Refuse("The member \"" + name + "\" is missing.");
}

std::string Text(const json& body, const std::string& name, size_t max_size) {
  const json& value = Member(body, name);
  if (!value.is_string())
    Refuse("The member \"" + name + "\" is not a string.");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > max_size)
    Refuse("The member \"" + name + "\" has " +
           (text.empty() ? "no text." : "too much text."));
  return text;
}

// The body of an operation: text, or an object that is passed on in one
// canonical form, so that a re-send has the same fingerprint.
std::string OperationText(const json& body) {
  const json& value = Member(body, "operation");
  if (value.is_object())
    return value.dump();
  if (!value.is_string())
    Refuse("The member \"operation\" is not an object or a string.");
  return Text(body, "operation", config::kMaxBodyBytes);
}

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end)
    return std::nullopt;
  return value;
}

std::optional<Duration> DecodeDeadline(const HttpRequest& request) {
  const auto header = request.Header(kDeadlineHeader);
  if (!header)
    return std::nullopt;
  const auto value = ParseInteger(*header);
  const auto max =
      std::chrono::floor<std::chrono::milliseconds>(config::kMaxCallerTimeout);
  if (!value || *value < 1 || *value > max.count())
    Refuse("X-Deadline-Ms is not a whole number of milliseconds from 1 to " +
           std::to_string(max.count()) + ".");
  return std::chrono::milliseconds(*value);
}

void DecodeIdempotency(const HttpRequest& request, CallerRequest& into) {
  const auto key = request.Header(kIdempotencyKeyHeader);
  if (!key)
    Refuse("Idempotency-Key is missing.");
  if (!IsToken(*key, config::kMaxIdBytes))
    Refuse("Idempotency-Key is not 1 to " +
           std::to_string(config::kMaxIdBytes) + " printable characters.");
  const auto issued = request.Header(kIssuedAtHeader);
  if (!issued)
    Refuse("Idempotency-Issued-At is missing.");
  const auto millis = ParseInteger(*issued);
  // The limit keeps sums with retention times from overflowing.
  if (!millis || *millis < 0 || *millis > config::kMaxUnixMillis)
    Refuse("Idempotency-Issued-At is not a time in Unix milliseconds.");
  into.idempotency_key = IdempotencyKey(*key);
  into.issued_at = {std::chrono::milliseconds(*millis)};
}

void RefuseByListener(const HttpRequest& request) {
  if (!request.refused_status)
    return;
  Refuse(*request.refused_status == 413 ? "The body is too large."
                                        : "The headers are too large.",
         *request.refused_status);
}

json CoverageJson(const Coverage& coverage) {
  json missing = json::array();
  for (const ShardGroupId& group : coverage.missing_groups)
    missing.push_back(group.value());
  return {{"groups_asked", coverage.groups_asked},
          {"groups_covered", coverage.groups_covered},
          {"records_asked", coverage.records_asked},
          {"records_covered", coverage.records_covered},
          {"missing_groups", std::move(missing)},
          {"complete", coverage.complete()}};
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::optional<RequestKind> KindForPath(const std::string& path) {
  if (path == "/v1/search")
    return RequestKind::kSearch;
  if (path == "/v1/fetch")
    return RequestKind::kFetch;
  if (path == "/v1/operations")
    return RequestKind::kOperation;
  return std::nullopt;
}

std::optional<RequestId> DecodeRequestId(const HttpRequest& request) {
  const auto id = request.Header(kRequestIdHeader);
  if (!id || !IsToken(*id, config::kMaxIdBytes))
    return std::nullopt;
  return RequestId(*id);
}

CallerRequest DecodeRequest(const HttpRequest& request, const RequestId& id) {
  const auto kind = KindForPath(request.path);
  if (!kind)
    Refuse("There is no such path.", kNotFound);
  if (request.method != "POST")
    Refuse("The path takes POST only.", kMethodNotAllowed);
  RefuseByListener(request);
  if (request.Header(kRequestIdHeader) && !DecodeRequestId(request))
    Refuse("X-Request-Id is not 1 to " + std::to_string(config::kMaxIdBytes) +
           " printable characters.");

  CallerRequest out;
  out.kind = *kind;
  out.id = id;
  out.timeout = DecodeDeadline(request);
  const json body = ParseBody(request.body);
  out.team = TeamId(Text(body, "team", config::kMaxIdBytes));
  out.index_set = IndexSetId(Text(body, "index_set", config::kMaxIdBytes));
  if (*kind == RequestKind::kSearch) {
    CheckMembers(body, {"team", "index_set", "query"});
    out.payload = Text(body, "query", config::kMaxBodyBytes);
    return out;
  }
  out.record_key = Text(body, "record_key", config::kMaxRecordKeyBytes);
  if (*kind == RequestKind::kFetch) {
    CheckMembers(body, {"team", "index_set", "record_key"});
    return out;
  }
  CheckMembers(body, {"team", "index_set", "record_key", "operation"});
  out.payload = OperationText(body);
  DecodeIdempotency(request, out);
  return out;
}

HttpResponse EncodeReply(const Reply& reply) {
  if (const auto* answer = std::get_if<Answer>(&reply))
    return EncodeAnswer(*answer);
  return EncodeError(std::get<ErrorAnswer>(reply));
}

HttpResponse EncodeAnswer(const Answer& answer) {
  const json head = {{"request_id", answer.request_id.value()},
                     {"snapshot",
                      {{"index_version", answer.snapshot.index_version.value()},
                       {"map_version", answer.snapshot.map_version.value()}}},
                     {"coverage", CoverageJson(answer.coverage)},
                     {"settings_revision", answer.settings_revision.value()},
                     {"replayed", answer.replayed}};
  std::string body = Dump(head);
  // Rows are JSON documents already and are passed on without parsing.
  body.back() = ',';
  body += "\"rows\":[";
  for (size_t i = 0; i < answer.rows.size(); ++i) {
    if (i > 0)
      body += ',';
    body += answer.rows[i];
  }
  body += "]}";
  return {.status = 200,
          .body = std::move(body),
          .headers = {{kRequestIdHeader, answer.request_id.value()}}};
}

namespace {

HttpResponse ErrorResponse(int status, const ErrorAnswer& error) {
  json body = {{"request_id", error.request_id.value()},
               {"error", ToString(error.code)},
               {"run_state", ToString(error.run_state)},
               {"message", error.message}};
  HttpResponse response{.status = status};
  response.headers.emplace_back(kRequestIdHeader, error.request_id.value());
  if (error.retry_after) {
    using std::chrono::ceil;
    body["retry_after_ms"] =
        ceil<std::chrono::milliseconds>(*error.retry_after).count();
    response.headers.emplace_back(
        "Retry-After",
        std::to_string(ceil<std::chrono::seconds>(*error.retry_after).count()));
  }
  if (status == kMethodNotAllowed)
    response.headers.emplace_back("Allow", "POST");
  response.body = Dump(body);
  return response;
}

}  // namespace

HttpResponse EncodeError(const ErrorAnswer& error) {
  return ErrorResponse(StatusFor(error.code), error);
}

HttpResponse EncodeInvalid(const RequestId& id, const InvalidRequest& error) {
  return ErrorResponse(error.status(), {.request_id = id,
                                        .code = ErrorCode::kInvalidRequest,
                                        .run_state = RunState::kNotRun,
                                        .message = error.what(),
                                        .retry_after = std::nullopt});
}

int StatusFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidRequest:
      return 400;
    case ErrorCode::kUnknownTeam:
    case ErrorCode::kUnknownIndexSet:
      return 404;
    case ErrorCode::kClaimConflict:
      return 409;
    case ErrorCode::kRequestTooOld:
      return 410;
    case ErrorCode::kQuarantined:
      return 422;
    case ErrorCode::kOverloaded:
      return 429;
    case ErrorCode::kBackendFailed:
      return 502;
    case ErrorCode::kDeadlineTooShort:
    case ErrorCode::kCoverageTooLow:
    case ErrorCode::kSnapshotUnavailable:
    case ErrorCode::kPlatformUnavailable:
    case ErrorCode::kShuttingDown:
    case ErrorCode::kNoSettings:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

}  // namespace wasabihook::caller
