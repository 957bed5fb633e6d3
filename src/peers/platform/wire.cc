#include "peers/platform/wire.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace wasabihook::platform {
namespace {

using Json = nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;

struct ErrorEncoding {
  StoreStatus status;
  int http_status;
  const char* name;
};

// The first entry for a status is used for encoding; all entries are decoded.
constexpr std::array<ErrorEncoding, 6> kErrorEncodings = {{
    {StoreStatus::kNotFound, kHttpNotFound, "not_found"},
    {StoreStatus::kConflict, kHttpConflict, "conflict"},
    {StoreStatus::kTooLarge, kHttpTooLarge, "too_large"},
    {StoreStatus::kUnavailable, kHttpUnavailable, "unavailable"},
    {StoreStatus::kUnavailable, kHttpTooManyRequests, "rate_exceeded"},
    {StoreStatus::kUnavailable, kHttpBadRequest, "bad_request"},
}};

// Returns null unless `text` is a single JSON object.
Json ParseObject(std::string_view text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json();
}

std::optional<std::string> StringField(const Json& json, const char* name) {
  if (auto it = json.find(name); it != json.end() && it->is_string()) {
    return it->get<std::string>();
  }
  return std::nullopt;
}

std::optional<uint64_t> UintField(const Json& json, const char* name) {
  if (auto it = json.find(name); it != json.end() && it->is_number_unsigned()) {
    return it->get<uint64_t>();
  }
  return std::nullopt;
}

// Integers above 2^53 are sent as strings, because JSON readers that use
// doubles round them.
std::optional<uint64_t> DecimalField(const Json& json, const char* name) {
  const std::optional<std::string> text = StringField(json, name);
  if (!text || text->empty() || text->size() > 20 ||
      text->find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  try {
    return std::stoull(*text);
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

Json EntryToJson(const KeyValue& entry) {
  return {{"key", entry.key},
          {"value", entry.value},
          {"revision", entry.revision.value()}};
}

std::optional<KeyValue> EntryFromJson(const Json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  auto key = StringField(json, "key");
  auto value = StringField(json, "value");
  const auto revision = UintField(json, "revision");
  if (!key || !value || !revision || *revision == 0) {
    return std::nullopt;
  }
  return KeyValue{std::move(*key), std::move(*value), Revision(*revision)};
}

Json InstanceToJson(const ListedInstance& instance) {
  return {{"id", instance.id.value()},
          {"peer_address", instance.peer_address},
          {"data_centre", instance.data_centre.value()},
          {"incarnation", std::to_string(instance.incarnation.value())},
          {"state", instance.state == ListedState::kLive ? "live" : "leaving"}};
}

std::optional<ListedInstance> InstanceFromJson(const Json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto id = StringField(json, "id");
  const auto address = StringField(json, "peer_address");
  const auto data_centre = StringField(json, "data_centre");
  const auto incarnation = DecimalField(json, "incarnation");
  const auto state = StringField(json, "state");
  if (!id || id->empty() || !address || !data_centre || !incarnation ||
      (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  return ListedInstance{
      InstanceId(*id), *address, DataCentreId(*data_centre),
      Incarnation(*incarnation),
      state == "live" ? ListedState::kLive : ListedState::kLeaving};
}

// Status of a response other than 200. The HTTP status and the error name in
// the body must match: a 503 without an error name may come from an
// intermediary that had already forwarded the request.
StoreStatus DecodeErrorStatus(int http_status, const Json& body) {
  const auto name = StringField(body, "error");
  for (const ErrorEncoding& encoding : kErrorEncodings) {
    if (encoding.http_status == http_status && name == encoding.name) {
      return encoding.status;
    }
  }
  return StoreStatus::kUnknown;
}

}  // namespace

std::string EncodeValue(const std::string& value) {
  try {
    return Json{{"value", value}}.dump();
  } catch (const Json::type_error&) {
    throw std::invalid_argument("value is not valid UTF-8");
  }
}

std::optional<std::string> DecodeValue(std::string_view body) {
  return StringField(ParseObject(body), "value");
}

std::string EncodeInstance(const ListedInstance& instance) {
  return InstanceToJson(instance).dump();
}

std::optional<ListedInstance> DecodeInstance(std::string_view body) {
  return InstanceFromJson(ParseObject(body));
}

WireResponse EncodeStatus(StoreStatus status) {
  if (status == StoreStatus::kOk) {
    return {kHttpOk, "{}"};
  }
  for (const ErrorEncoding& encoding : kErrorEncodings) {
    if (encoding.status == status) {
      return {encoding.http_status, Json{{"error", encoding.name}}.dump()};
    }
  }
  return {kHttpUnavailable, Json{{"error", "unavailable"}}.dump()};
}

WireResponse EncodeBadRequest(const std::string& reason) {
  return {kHttpBadRequest,
          Json{{"error", "bad_request"}, {"reason", reason}}.dump()};
}

WireResponse EncodeGet(const GetResult& result) {
  if (result.status != StoreStatus::kOk) {
    return EncodeStatus(result.status);
  }
  return {kHttpOk, EntryToJson(result.entry).dump()};
}

WireResponse EncodeWrite(const std::string& key, const WriteResult& result) {
  if (result.status == StoreStatus::kOk) {
    return {kHttpOk,
            Json{{"key", key}, {"revision", result.revision.value()}}.dump()};
  }
  if (result.status == StoreStatus::kConflict && result.current) {
    return {kHttpConflict, Json{{"error", "conflict"},
                                {"current", EntryToJson(*result.current)}}
                               .dump()};
  }
  return EncodeStatus(result.status);
}

WireResponse EncodeList(const ListResult& result) {
  if (result.status != StoreStatus::kOk) {
    return EncodeStatus(result.status);
  }
  Json entries = Json::array();
  for (const KeyValue& entry : result.entries) {
    entries.push_back(EntryToJson(entry));
  }
  return {kHttpOk, Json{{"store_revision", result.store_revision.value()},
                        {"entries", std::move(entries)}}
                       .dump()};
}

WireResponse EncodeInstances(const InstanceListResult& result) {
  if (result.status != StoreStatus::kOk) {
    return EncodeStatus(result.status);
  }
  Json instances = Json::array();
  for (const ListedInstance& instance : result.instances) {
    instances.push_back(InstanceToJson(instance));
  }
  return {kHttpOk, Json{{"instances", std::move(instances)}}.dump()};
}

GetResult DecodeGet(const WireResponse& response, const std::string& key) {
  const Json json = ParseObject(response.body);
  GetResult result;
  if (response.status != kHttpOk) {
    result.status = DecodeErrorStatus(response.status, json);
    return result;
  }
  result.status = StoreStatus::kUnknown;
  if (auto entry = EntryFromJson(json); entry && entry->key == key) {
    result.status = StoreStatus::kOk;
    result.entry = std::move(*entry);
  }
  return result;
}

WriteResult DecodeWrite(const WireResponse& response, const std::string& key) {
  const Json json = ParseObject(response.body);
  WriteResult result;
  result.status = StoreStatus::kUnknown;
  if (response.status != kHttpOk) {
    result.status = DecodeErrorStatus(response.status, json);
    if (auto it = json.find("current");
        result.status == StoreStatus::kConflict && it != json.end()) {
      result.current = EntryFromJson(*it);
      if (!result.current || result.current->key != key) {
        result.status = StoreStatus::kUnknown;
        result.current.reset();
      }
    }
    return result;
  }
  if (const auto revision = UintField(json, "revision");
      revision && *revision != 0 && StringField(json, "key") == key) {
    result.status = StoreStatus::kOk;
    result.revision = Revision(*revision);
  }
  return result;
}

ListResult DecodeList(const WireResponse& response, const std::string& prefix) {
  const Json json = ParseObject(response.body);
  ListResult invalid;
  invalid.status = StoreStatus::kUnknown;
  if (response.status != kHttpOk) {
    invalid.status = DecodeErrorStatus(response.status, json);
    return invalid;
  }
  const auto revision = UintField(json, "store_revision");
  const auto entries = json.find("entries");
  if (!revision || entries == json.end() || !entries->is_array()) {
    return invalid;
  }
  ListResult result{.status = StoreStatus::kOk,
                    .entries = {},
                    .store_revision = Revision(*revision)};
  for (const Json& element : *entries) {
    auto entry = EntryFromJson(element);
    if (!entry || entry->key.compare(0, prefix.size(), prefix) != 0 ||
        entry->revision > result.store_revision ||
        (!result.entries.empty() && entry->key <= result.entries.back().key)) {
      return invalid;
    }
    result.entries.push_back(std::move(*entry));
  }
  return result;
}

InstanceListResult DecodeInstances(const WireResponse& response) {
  const Json json = ParseObject(response.body);
  InstanceListResult invalid{.status = StoreStatus::kUnknown, .instances = {}};
  if (response.status != kHttpOk) {
    invalid.status = DecodeErrorStatus(response.status, json);
    return invalid;
  }
  const auto instances = json.find("instances");
  if (instances == json.end() || !instances->is_array()) {
    return invalid;
  }
  InstanceListResult result{.status = StoreStatus::kOk, .instances = {}};
  for (const Json& element : *instances) {
    auto instance = InstanceFromJson(element);
    if (!instance) {
      return invalid;
    }
    result.instances.push_back(std::move(*instance));
  }
  return result;
}

StoreStatus DecodeStatus(const WireResponse& response) {
  const Json json = ParseObject(response.body);
  if (response.status != kHttpOk) {
    return DecodeErrorStatus(response.status, json);
  }
  return json.is_object() ? StoreStatus::kOk : StoreStatus::kUnknown;
}

std::string PercentEncode(std::string_view text, bool keep_slash) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_alphanumeric = (byte >= 'a' && byte <= 'z') ||
                                 (byte >= 'A' && byte <= 'Z') ||
                                 (byte >= '0' && byte <= '9');
    if (is_alphanumeric || c == '-' || c == '_' || c == '~' || c == '.' ||
        (keep_slash && c == '/')) {
      encoded += c;
    } else {
      encoded += {'%', kHex[byte >> 4], kHex[byte & 0xF]};
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view text) {
  const auto digit = [](char c) {
    static constexpr std::string_view kDigits = "0123456789abcdef";
    const char lower = c >= 'A' && c <= 'F' ? static_cast<char>(c + 32) : c;
    return kDigits.find(lower);
  };
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (i + 2 >= text.size() || digit(text[i + 1]) == std::string_view::npos ||
        digit(text[i + 2]) == std::string_view::npos) {
      return std::nullopt;
    }
    decoded += static_cast<char>(digit(text[i + 1]) * 16 + digit(text[i + 2]));
    i += 2;
  }
  return decoded;
}

}  // namespace wasabihook::platform
