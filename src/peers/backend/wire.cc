#include "peers/backend/wire.h"

#include <strings.h>

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "peers/backend/reply_body.h"

namespace wasabihook {
namespace {

using Json = nlohmann::json;

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t\r\n";
  size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

// Returns false if the field is already set or the value is not a number.
bool SetNumber(std::optional<uint64_t>* field, std::string_view value) {
  if (field->has_value()) {
    return false;
  }
  *field = ParseUnsigned(value);
  return field->has_value();
}

bool SetString(std::optional<std::string>* field, std::string_view value) {
  if (field->has_value()) {
    return false;
  }
  field->emplace(value);
  return true;
}

DecodedReply MarkInvalid(DecodedReply decoded, InvalidReplyCause cause) {
  SubRequestId id = decoded.reply.id;
  decoded.reply = SubReply();
  decoded.reply.id = std::move(id);
  decoded.reply.outcome = SubOutcome::kInvalidReply;
  decoded.invalid = cause;
  return decoded;
}

struct Refusal {
  SubOutcome outcome;
  std::string_view error;
};

std::optional<Refusal> RefusalFor(int status) {
  switch (status) {
    case 429:
      return Refusal{SubOutcome::kOverloaded, "overloaded"};
    case 503:
      return Refusal{SubOutcome::kDraining, "draining"};
    case 409:
      return Refusal{SubOutcome::kSnapshotNotServed, "snapshot_not_served"};
    case 404:
      return Refusal{SubOutcome::kGroupNotHeld, "group_not_held"};
    default:
      return std::nullopt;
  }
}

// A refusal proves that the sub-request was not executed only if it names the
// sub-request and the reason; any other reply with that status is invalid.
DecodedReply DecodeRefusal(DecodedReply decoded,
                           const Refusal& refusal,
                           const ReplyHead& head,
                           ReplyBody body) {
  if (body.error != refusal.error) {
    return MarkInvalid(std::move(decoded), InvalidReplyCause::kBody);
  }
  decoded.reply.outcome = refusal.outcome;
  decoded.reply.load = body.load;
  decoded.reply.newest_snapshot = body.newest;
  if (head.retry_after_seconds) {
    // Keeps the conversion to microseconds from overflowing.
    constexpr uint64_t kMaxRetryAfterSeconds = 86400;
    decoded.reply.retry_after = std::chrono::seconds(
        std::min(*head.retry_after_seconds, kMaxRetryAfterSeconds));
  }
  return decoded;
}

std::optional<InvalidReplyCause> CheckOkReply(const SubRequest& request,
                                              const ReplyHead& head,
                                              const ReplyBody& body) {
  const uint64_t index_version = request.snapshot.index_version.value();
  const uint64_t map_version = request.snapshot.map_version.value();
  if (head.index_version != index_version || head.map_version != map_version ||
      body.index_version != index_version || body.map_version != map_version) {
    return InvalidReplyCause::kSnapshot;
  }
  if (head.group != request.group.value() ||
      body.group != request.group.value()) {
    return InvalidReplyCause::kGroup;
  }
  if (!body.has_rows || !body.records_searched) {
    return InvalidReplyCause::kBody;
  }
  if (body.row_count != body.rows.size()) {
    return InvalidReplyCause::kRowCount;
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(InvalidReplyCause cause) {
  switch (cause) {
    case InvalidReplyCause::kRequestId:
      return "request_id";
    case InvalidReplyCause::kSnapshot:
      return "snapshot";
    case InvalidReplyCause::kGroup:
      return "group";
    case InvalidReplyCause::kLength:
      return "length";
    case InvalidReplyCause::kRowCount:
      return "row_count";
    case InvalidReplyCause::kBody:
      return "body";
    case InvalidReplyCause::kTooLarge:
      return "too_large";
    case InvalidReplyCause::kProtocol:
      return "protocol";
  }
  return "protocol";
}

std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      text.empty()) {
    return std::nullopt;
  }
  return value;
}

void ReplyHead::AddLine(std::string_view line) {
  if (line.starts_with("HTTP/")) {
    Clear();
    if (size_t space = line.find(' '); space != std::string_view::npos) {
      status = static_cast<int>(
          ParseUnsigned(line.substr(space + 1, 3)).value_or(0));
    }
    return;
  }
  size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  std::string_view name = line.substr(0, colon);
  std::string_view value = Trim(line.substr(colon + 1));
  bool valid = true;
  if (EqualsIgnoreCase(name, wire::kRequestIdHeader)) {
    valid = SetString(&request_id, value);
  } else if (EqualsIgnoreCase(name, wire::kIndexVersionHeader)) {
    valid = SetNumber(&index_version, value);
  } else if (EqualsIgnoreCase(name, wire::kMapVersionHeader)) {
    valid = SetNumber(&map_version, value);
  } else if (EqualsIgnoreCase(name, wire::kShardGroupHeader)) {
    valid = SetString(&group, value);
  } else if (EqualsIgnoreCase(name, "Content-Length")) {
    valid = SetNumber(&content_length, value);
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    valid = false;
  } else if (EqualsIgnoreCase(name, "Retry-After") && !retry_after_seconds) {
    // HTTP also allows a date here, which is ignored.
    retry_after_seconds = ParseUnsigned(value);
  }
  malformed = malformed || !valid;
}

std::string_view PathFor(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSearch:
      return "/v1/search";
    case RequestKind::kFetch:
      return "/v1/fetch";
    case RequestKind::kOperation:
      return "/v1/execute";
  }
  return "/v1/search";
}

std::string EncodeBody(const SubRequest& request) {
  Json body = {{"team", request.team.value()},
               {"index_set", request.index_set.value()}};
  switch (request.kind) {
    case RequestKind::kSearch:
      body["query"] = request.payload;
      break;
    case RequestKind::kFetch:
      body["record_key"] = request.record_key;
      break;
    case RequestKind::kOperation:
      body["operation"] = request.payload;
      body["record_key"] = request.record_key;
      body["idempotency_key"] = request.idempotency_key.value();
      break;
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeCancelBody(const std::vector<SubRequestId>& ids) {
  Json list = Json::array();
  for (const SubRequestId& id : ids) {
    list.push_back(id.value());
  }
  return Json{{"request_ids", std::move(list)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

uint64_t DeadlineMs(Duration remaining) {
  auto ms = std::chrono::floor<std::chrono::milliseconds>(remaining).count();
  return ms < 1 ? 1 : static_cast<uint64_t>(ms);
}

DecodedReply DecodeReply(const SubRequest& request,
                         const ReplyHead& head,
                         std::string_view body) {
  DecodedReply decoded;
  decoded.reply.id = request.id;
  if (head.malformed || head.content_length != body.size()) {
    return MarkInvalid(std::move(decoded), InvalidReplyCause::kLength);
  }
  const std::optional<Refusal> refusal = RefusalFor(head.status);
  if (head.status != 200 && !refusal) {
    decoded.reply.outcome =
        head.status == 504 ? SubOutcome::kTimedOut : SubOutcome::kServerError;
    return decoded;
  }
  if (head.request_id != request.id.value()) {
    return MarkInvalid(std::move(decoded), InvalidReplyCause::kRequestId);
  }
  std::optional<ReplyBody> parsed = ParseReplyBody(body);
  if (!parsed) {
    return MarkInvalid(std::move(decoded), InvalidReplyCause::kBody);
  }
  if (parsed->request_id != request.id.value()) {
    return MarkInvalid(std::move(decoded), InvalidReplyCause::kRequestId);
  }
  if (refusal) {
    return DecodeRefusal(std::move(decoded), *refusal, head,
                         std::move(*parsed));
  }
  if (std::optional<InvalidReplyCause> cause =
          CheckOkReply(request, head, *parsed)) {
    return MarkInvalid(std::move(decoded), *cause);
  }
  decoded.reply.outcome = SubOutcome::kOk;
  decoded.reply.snapshot = request.snapshot;
  decoded.reply.records_searched = *parsed->records_searched;
  decoded.reply.rows = std::move(parsed->rows);
  decoded.reply.load = parsed->load;
  return decoded;
}

}  // namespace wasabihook
