#include "peers/instance/peer_codec.h"

#include <algorithm>
#include <utility>

#include "peers/instance/burn_codec.h"
#include "peers/instance/json_object_reader.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr int64_t kMaxQuarantineExpiryMs = 24LL * 3600 * 1000;

std::string Describe(PeerDecodeErrorKind kind) {
  switch (kind) {
    case PeerDecodeErrorKind::kMissing:
      return "missing";
    case PeerDecodeErrorKind::kWrongType:
      return "wrong type";
    case PeerDecodeErrorKind::kOutOfRange:
      return "out of range";
    case PeerDecodeErrorKind::kTooLong:
      return "too long";
    case PeerDecodeErrorKind::kUnknownMethod:
      return "unknown method";
  }
  return "invalid";
}

}  // namespace

Json::Value EncodeIdentity(const PeerIdentity& identity) {
  Json::Value json(Json::objectValue);
  json["instance"] = identity.instance.value();
  json["incarnation"] = Json::UInt64(identity.incarnation.value());
  json["address"] = identity.address;
  json["data_centre"] = identity.data_centre.value();
  return json;
}

PeerIdentity DecodeIdentity(const JsonObjectReader& reader) {
  return {InstanceId(reader.GetNonEmptyString("instance")),
          Incarnation(reader.GetUint64("incarnation")),
          reader.GetNonEmptyString("address"),
          DataCentreId(reader.GetNonEmptyString("data_centre"))};
}

namespace {

Json::Value EncodeDigest(const DigestRequest& digest) {
  Json::Value json(Json::objectValue);
  json["from"] = EncodeIdentity(digest.from);
  json["settings_hash"] = Json::UInt64(digest.settings_hash);
  json["greatest_revision"] = Json::UInt64(digest.greatest_revision.value());
  json["leaving"] = digest.leaving;
  json["quarantine"] = Json::Value(Json::arrayValue);
  for (const QuarantineEntry& entry : digest.quarantine) {
    Json::Value item(Json::objectValue);
    item["team"] = entry.team.value();
    item["fingerprint"] = Json::UInt64(entry.fingerprint.value());
    item["expires_in_ms"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.expires_in)
            .count());
    json["quarantine"].append(std::move(item));
  }
  json["draining_servers"] = Json::Value(Json::arrayValue);
  for (const ServerId& server : digest.draining_servers) {
    json["draining_servers"].append(server.value());
  }
  return json;
}

DigestRequest DecodeDigest(const Json::Value& params) {
  const JsonObjectReader reader(params, "");
  DigestRequest digest;
  digest.from = DecodeIdentity(reader.GetObject("from"));
  digest.settings_hash = reader.GetUint64("settings_hash");
  digest.greatest_revision = Revision(reader.GetUint64("greatest_revision"));
  digest.leaving = reader.GetBool("leaving");
  digest.quarantine = reader.GetList(
      "quarantine", [](const Json::Value& item, const std::string& path) {
        const JsonObjectReader entry(item, path);
        return QuarantineEntry{TeamId(entry.GetNonEmptyString("team")),
                               Fingerprint(entry.GetUint64("fingerprint")),
                               std::chrono::milliseconds(entry.GetUint64(
                                   "expires_in_ms", kMaxQuarantineExpiryMs))};
      });
  digest.draining_servers = reader.GetList(
      "draining_servers", [](const Json::Value& item, const std::string& path) {
        return ServerId(ReadId(item, path));
      });
  return digest;
}

Json::Value EncodePull(const PullRequest& pull) {
  Json::Value json(Json::objectValue);
  json["from"] = EncodeIdentity(pull.from);
  json["subtrees"] = Json::Value(Json::arrayValue);
  for (const std::string& subtree : pull.subtrees) {
    json["subtrees"].append(subtree);
  }
  return json;
}

PullRequest DecodePull(const Json::Value& params) {
  const JsonObjectReader reader(params, "");
  return {DecodeIdentity(reader.GetObject("from")),
          reader.GetList("subtrees", ReadId)};
}

Json::Value EncodeDigestResponse(const DigestResponse& response) {
  Json::Value json(Json::objectValue);
  json["from"] = EncodeIdentity(response.from);
  json["revisions"] = Json::Value(Json::arrayValue);
  for (const SubtreeRevision& entry : response.revisions) {
    Json::Value item(Json::objectValue);
    item["subtree"] = entry.subtree;
    item["revision"] = Json::UInt64(entry.revision.value());
    json["revisions"].append(std::move(item));
  }
  return json;
}

DigestResponse DecodeDigestResponse(const Json::Value& result) {
  const JsonObjectReader reader(result, "");
  return {DecodeIdentity(reader.GetObject("from")),
          reader.GetList("revisions", [](const Json::Value& item,
                                         const std::string& path) {
            const JsonObjectReader entry(item, path);
            return SubtreeRevision{entry.GetNonEmptyString("subtree"),
                                   Revision(entry.GetUint64("revision"))};
          })};
}

Json::Value EncodePullResponse(const PullResponse& response) {
  Json::Value json(Json::objectValue);
  json["subtrees"] = Json::Value(Json::arrayValue);
  for (const PulledSubtree& entry : response.subtrees) {
    Json::Value item(Json::objectValue);
    item["subtree"] = entry.subtree;
    item["revision"] = Json::UInt64(entry.revision.value());
    item["text"] = entry.text;
    json["subtrees"].append(std::move(item));
  }
  return json;
}

PullResponse DecodePullResponse(const Json::Value& result) {
  const JsonObjectReader reader(result, "");
  return {reader.GetList("subtrees", [](const Json::Value& item,
                                        const std::string& path) {
    const JsonObjectReader entry(item, path);
    return PulledSubtree{entry.GetNonEmptyString("subtree"),
                         Revision(entry.GetUint64("revision")),
                         entry.GetString("text", config::kMaxSettingsBytes)};
  })};
}

}  // namespace

PeerDecodeError::PeerDecodeError(PeerDecodeErrorKind kind, std::string path)
    : std::runtime_error((path.empty() ? "message" : path) + ": " +
                         Describe(kind)),
      m_kind(kind),
      m_path(std::move(path)) {}

std::string MethodName(const PeerRequest& request) {
  if (std::holds_alternative<DigestRequest>(request)) {
    return kDigestMethod;
  }
  return std::holds_alternative<PullRequest>(request) ? kPullMethod
                                                      : kBurnCountsMethod;
}

Json::Value Encode(const PeerRequest& request) {
  if (const auto* digest = std::get_if<DigestRequest>(&request)) {
    return EncodeDigest(*digest);
  }
  if (const auto* burn = std::get_if<BurnCountsRequest>(&request)) {
    return EncodeBurnRequest(*burn);
  }
  return EncodePull(std::get<PullRequest>(request));
}

Json::Value Encode(const PeerResponse& response) {
  if (const auto* digest = std::get_if<DigestResponse>(&response)) {
    return EncodeDigestResponse(*digest);
  }
  if (const auto* burn = std::get_if<BurnCountsResponse>(&response)) {
    return EncodeBurnResponse(*burn);
  }
  return EncodePullResponse(std::get<PullResponse>(response));
}

PeerRequest DecodeRequest(const std::string& method,
                          const Json::Value& params) {
  if (method == kDigestMethod) {
    return DecodeDigest(params);
  }
  if (method == kPullMethod) {
    return DecodePull(params);
  }
  if (method == kBurnCountsMethod) {
    return DecodeBurnRequest(params);
  }
  throw PeerDecodeError(PeerDecodeErrorKind::kUnknownMethod, method);
}

PeerResponse DecodeResponse(const std::string& method,
                            const Json::Value& result) {
  if (method == kDigestMethod) {
    return DecodeDigestResponse(result);
  }
  if (method == kPullMethod) {
    return DecodePullResponse(result);
  }
  if (method == kBurnCountsMethod) {
    return DecodeBurnResponse(result);
  }
  throw PeerDecodeError(PeerDecodeErrorKind::kUnknownMethod, method);
}

}  // namespace wasabihook
