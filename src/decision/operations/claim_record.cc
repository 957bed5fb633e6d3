#include "decision/operations/claim_record.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kVersion = 1;
// Longer segments are replaced by their hash, to stay below the key length
// limit of the platform.
constexpr size_t kMaxPlainKeyBytes = 200;

constexpr std::array<const char*, 3> kStateNames = {"claimed", "done",
                                                    "not_run"};

std::string Hex(uint64_t number, int digits) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%0*llx", digits,
                static_cast<unsigned long long>(number));
  return text.data();
}

std::string PathSegment(std::string_view text) {
  if (text.size() > kMaxPlainKeyBytes) {
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    // Unambiguous: escaped segments contain no '='.
    return "=" + Hex(hash.high64, 16) + Hex(hash.low64, 16);
  }
  std::string segment;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (byte >= 'a' && byte <= 'z') ||
                       (byte >= 'A' && byte <= 'Z') ||
                       (byte >= '0' && byte <= '9') || c == '-' || c == '_';
    segment += plain ? std::string(1, c) : "." + Hex(byte, 2);
  }
  return segment;
}

Json OutcomeToJson(const OperationOutcome& outcome) {
  return {{"run_state", ToString(outcome.run_state)},
          {"rows", outcome.rows},
          {"rows_dropped", outcome.rows_dropped},
          {"index_version", outcome.snapshot.index_version.value()},
          {"map_version", outcome.snapshot.map_version.value()}};
}

Json ToJson(const ClaimRecord& record) {
  Json json = {{"version", kVersion},
               {"instance", record.instance.value()},
               {"incarnation", Hex(record.incarnation.value(), 16)},
               {"nonce", record.nonce},
               {"fingerprint", Hex(record.fingerprint.value(), 16)},
               {"state", kStateNames[static_cast<size_t>(record.state)]},
               {"claimed_at_ms", record.claimed_at.since_unix_epoch.count()}};
  if (record.state == ClaimState::kDone) {
    json["outcome"] = OutcomeToJson(record.outcome);
  }
  return json;
}

void DropRows(OperationOutcome& outcome) {
  outcome.rows.clear();
  outcome.rows_dropped = true;
}

size_t RowBytes(const OperationOutcome& outcome) {
  size_t bytes = 0;
  for (const std::string& row : outcome.rows) {
    bytes += row.size();
  }
  return bytes;
}

// Throws std::out_of_range or nlohmann::json::exception.
uint64_t ParseHex(const std::string& text) {
  if (text.size() != 16 ||
      text.find_first_not_of("0123456789abcdef") != std::string::npos) {
    throw std::out_of_range("expected 16 hexadecimal digits");
  }
  return std::stoull(text, nullptr, 16);
}

template <size_t N>
size_t IndexOf(const std::array<const char*, N>& names,
               const std::string& name) {
  for (size_t i = 0; i < N; ++i) {
    if (name == names[i]) {
      return i;
    }
  }
  throw std::out_of_range("unknown enum name");
}

uint64_t UnsignedAt(const Json& json, const char* name) {
  const Json& field = json.at(name);
  if (!field.is_number_unsigned()) {
    throw std::out_of_range("expected an unsigned number");
  }
  return field.get<uint64_t>();
}

OperationOutcome OutcomeFromJson(const Json& json) {
  static const std::array<std::string, 3> kNames = {
      ToString(RunState::kNotRun), ToString(RunState::kRan),
      ToString(RunState::kUnknown)};
  OperationOutcome outcome;
  outcome.run_state = static_cast<RunState>(
      IndexOf<3>({kNames[0].c_str(), kNames[1].c_str(), kNames[2].c_str()},
                 json.at("run_state").get<std::string>()));
  outcome.rows = json.at("rows").get<std::vector<std::string>>();
  outcome.rows_dropped = json.at("rows_dropped").get<bool>();
  outcome.snapshot = {IndexVersion(UnsignedAt(json, "index_version")),
                      MapVersion(UnsignedAt(json, "map_version"))};
  return outcome;
}

ClaimRecord FromJson(const Json& json) {
  ClaimRecord record;
  if (UnsignedAt(json, "version") != kVersion) {
    throw std::out_of_range("unsupported claim version");
  }
  record.instance = InstanceId(json.at("instance").get<std::string>());
  record.incarnation =
      Incarnation(ParseHex(json.at("incarnation").get<std::string>()));
  record.nonce = json.at("nonce").get<std::string>();
  record.fingerprint =
      Fingerprint(ParseHex(json.at("fingerprint").get<std::string>()));
  record.state = static_cast<ClaimState>(
      IndexOf(kStateNames, json.at("state").get<std::string>()));
  record.claimed_at = {std::chrono::milliseconds(
      static_cast<int64_t>(UnsignedAt(json, "claimed_at_ms")))};
  if (record.state == ClaimState::kDone) {
    record.outcome = OutcomeFromJson(json.at("outcome"));
  }
  return record;
}

}  // namespace

std::string EncodeClaim(ClaimRecord record) {
  if (RowBytes(record.outcome) > config::kMaxRecordedOutcomeBytes) {
    DropRows(record.outcome);
  }
  try {
    return ToJson(record).dump();
  } catch (const Json::type_error&) {
    DropRows(record.outcome);
    return ToJson(record).dump(-1, ' ', false, Json::error_handler_t::replace);
  }
}

std::optional<ClaimRecord> DecodeClaim(std::string_view value) {
  const Json json = Json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    return FromJson(json);
  } catch (const std::out_of_range&) {
    return std::nullopt;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

uint32_t ClaimBucket(const IdempotencyKey& key) {
  return static_cast<uint32_t>(
      XXH64(key.value().data(), key.value().size(), 0) % config::kClaimBuckets);
}

std::string ClaimBucketPrefix(const TeamId& team, uint32_t bucket) {
  return std::string(kClaimPrefix) + PathSegment(team.value()) + "/" +
         Hex(bucket, 3) + "/";
}

std::string ClaimPath(const ClaimKey& key) {
  return ClaimBucketPrefix(key.team, ClaimBucket(key.idempotency_key)) +
         PathSegment(key.idempotency_key.value());
}

void SetOutcome(ClaimRecord& record, OperationOutcome outcome) {
  record.state = outcome.run_state == RunState::kNotRun ? ClaimState::kNotRun
                                                        : ClaimState::kDone;
  record.outcome = std::move(outcome);
}

}  // namespace wasabihook
