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

constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;

[[noreturn]] void ThrowInvalidRequest(const std::string& message,
                                      int status = kHttpBadRequest) {
  throw InvalidRequest(status, message);
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsToken(std::string_view text, size_t max_size) {
  return !text.empty() && text.size() <= max_size && IsVisibleAscii(text);
}

// Parser callback that rejects input which the parser accepts: repeated
// members, which parsers interpret differently, and nesting that could exhaust
// the stack.
class StrictParseCallback {
 public:
  bool operator()(int depth, json::parse_event_t event, json& value) {
    if (depth > config::kMaxJsonDepth)
      ThrowInvalidRequest("The body is nested too deeply.");
    if (event == json::parse_event_t::object_start)
      m_member_names.emplace_back();
    else if (event == json::parse_event_t::object_end)
      m_member_names.pop_back();
    else if (event == json::parse_event_t::key &&
             !m_member_names.back().insert(value.get<std::string>()).second)
      ThrowInvalidRequest("The body has a repeated member.");
    return true;
  }

 private:
  // Member names of each object that is still open, outermost first.
  std::vector<std::set<std::string>> m_member_names;
};

json ParseBody(const std::string& body) {
  StrictParseCallback callback;
  json parsed;
  try {
    parsed = json::parse(body, std::ref(callback));
  } catch (const json::exception&) {
    ThrowInvalidRequest("The body is not valid JSON.");
  }
  if (!parsed.is_object())
    ThrowInvalidRequest("The body is not a JSON object.");
  return parsed;
}

void CheckMembers(const json& body,
                  std::initializer_list<std::string_view> allowed) {
  for (const auto& [name, value] : body.items()) {
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
      ThrowInvalidRequest("The body has an unknown member.");
  }
}

const json& RequiredMember(const json& body, const std::string& name) {
  if (const auto found = body.find(name); found != body.end())
    return *found;
  ThrowInvalidRequest("The member \"" + name + "\" is missing.");
}

std::string RequiredString(const json& body,
                           const std::string& name,
                           size_t max_size) {
  const json& value = RequiredMember(body, name);
  if (!value.is_string())
    ThrowInvalidRequest("The member \"" + name + "\" is not a string.");
  auto text = value.get<std::string>();
  if (text.empty() || text.size() > max_size)
    ThrowInvalidRequest("The member \"" + name + "\" has " +
                        (text.empty() ? "no text." : "too much text."));
  return text;
}

// Returns the payload of an operation: a string, or an object serialised in
// canonical form, so that a retry by the caller has the same fingerprint.
std::string OperationPayload(const json& body) {
  const json& value = RequiredMember(body, "operation");
  if (value.is_object())
    return value.dump();
  if (!value.is_string())
    ThrowInvalidRequest(
        "The member \"operation\" is not an object or a string.");
  return RequiredString(body, "operation", config::kMaxBodyBytes);
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
    ThrowInvalidRequest(
        "X-Deadline-Ms is not a whole number of milliseconds from 1 to " +
        std::to_string(max.count()) + ".");
  return std::chrono::milliseconds(*value);
}

void DecodeIdempotency(const HttpRequest& request, CallerRequest& out) {
  const auto key = request.Header(kIdempotencyKeyHeader);
  if (!key)
    ThrowInvalidRequest("Idempotency-Key is missing.");
  if (!IsToken(*key, config::kMaxIdBytes))
    ThrowInvalidRequest("Idempotency-Key is not 1 to " +
                        std::to_string(config::kMaxIdBytes) +
                        " printable characters.");
  const auto issued = request.Header(kIssuedAtHeader);
  if (!issued)
    ThrowInvalidRequest("Idempotency-Issued-At is missing.");
  const auto millis = ParseInteger(*issued);
  // The limit keeps sums with retention periods from overflowing.
  if (!millis || *millis < 0 || *millis > config::kMaxUnixMillis)
    ThrowInvalidRequest(
        "Idempotency-Issued-At is not a time in Unix milliseconds.");
  out.idempotency_key = IdempotencyKey(*key);
  out.issued_at = {std::chrono::milliseconds(*millis)};
}

void CheckListenerStatus(const HttpRequest& request) {
  if (!request.refused_status)
    return;
  ThrowInvalidRequest(*request.refused_status == 413
                          ? "The body is too large."
                          : "The headers are too large.",
                      *request.refused_status);
}

json EncodeCoverage(const Coverage& coverage) {
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
    ThrowInvalidRequest("There is no such path.", kHttpNotFound);
  if (request.method != "POST")
    ThrowInvalidRequest("The path takes POST only.", kHttpMethodNotAllowed);
  CheckListenerStatus(request);
  if (request.Header(kRequestIdHeader) && !DecodeRequestId(request))
    ThrowInvalidRequest("X-Request-Id is not 1 to " +
                        std::to_string(config::kMaxIdBytes) +
                        " printable characters.");

  CallerRequest out;
  out.kind = *kind;
  out.id = id;
  out.timeout = DecodeDeadline(request);
  const json body = ParseBody(request.body);
  out.team = TeamId(RequiredString(body, "team", config::kMaxIdBytes));
  out.index_set =
      IndexSetId(RequiredString(body, "index_set", config::kMaxIdBytes));
  if (*kind == RequestKind::kSearch) {
    CheckMembers(body, {"team", "index_set", "query"});
    out.payload = RequiredString(body, "query", config::kMaxBodyBytes);
    return out;
  }
  out.record_key =
      RequiredString(body, "record_key", config::kMaxRecordKeyBytes);
  if (*kind == RequestKind::kFetch) {
    CheckMembers(body, {"team", "index_set", "record_key"});
    return out;
  }
  CheckMembers(body, {"team", "index_set", "record_key", "operation"});
  out.payload = OperationPayload(body);
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
                     {"coverage", EncodeCoverage(answer.coverage)},
                     {"settings_revision", answer.settings_revision.value()},
                     {"replayed", answer.replayed}};
  std::string body = Dump(head);
  // Rows are already JSON and are appended without parsing.
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
  if (status == kHttpMethodNotAllowed)
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
