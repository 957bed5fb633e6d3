#include "peers/instance/peer_codec.h"

#include <algorithm>
#include <utility>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr size_t kMaxIdLength = 256;
constexpr int64_t kMaxExpiryMs = 24LL * 3600 * 1000;

std::string Describe(PeerDecodeFault fault) {
  switch (fault) {
    case PeerDecodeFault::kMissing:
      return "missing";
    case PeerDecodeFault::kWrongType:
      return "wrong type";
    case PeerDecodeFault::kOutOfRange:
      return "out of range";
    case PeerDecodeFault::kTooLong:
      return "too long";
    case PeerDecodeFault::kUnknownMethod:
      return "unknown method";
  }
  return "invalid";
}

// Reads members of one JSON object, naming the path of what is at fault.
class ObjectReader {
 public:
  ObjectReader(const Json::Value& value, std::string path)
      : m_value(value), m_path(std::move(path)) {
    if (!value.isObject()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, m_path);
    }
  }

  std::string Text(const char* name, size_t max_length = kMaxIdLength) const {
    const Json::Value& value = Member(name);
    if (!value.isString()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, Path(name));
    }
    std::string text = value.asString();
    if (text.size() > max_length) {
      throw PeerDecodeError(PeerDecodeFault::kTooLong, Path(name));
    }
    return text;
  }

  std::string NonEmptyText(const char* name) const {
    std::string text = Text(name);
    if (text.empty()) {
      throw PeerDecodeError(PeerDecodeFault::kOutOfRange, Path(name));
    }
    return text;
  }

  uint64_t Number(const char* name, uint64_t max = UINT64_MAX) const {
    const Json::Value& value = Member(name);
    const bool integer =
        value.type() == Json::intValue || value.type() == Json::uintValue;
    if (!integer) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, Path(name));
    }
    if (!value.isUInt64() || value.asUInt64() > max) {
      throw PeerDecodeError(PeerDecodeFault::kOutOfRange, Path(name));
    }
    return value.asUInt64();
  }

  bool Boolean(const char* name) const {
    const Json::Value& value = Member(name);
    if (!value.isBool()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, Path(name));
    }
    return value.asBool();
  }

  ObjectReader Object(const char* name) const {
    return {Member(name), Path(name)};
  }

  // Calls `read(item, path)` for each item of a list.
  template <typename Read>
  auto List(const char* name, Read read) const {
    const Json::Value& list = Member(name);
    if (!list.isArray()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, Path(name));
    }
    if (list.size() > config::kMaxPeerListLength) {
      throw PeerDecodeError(PeerDecodeFault::kTooLong, Path(name));
    }
    std::vector<decltype(read(list, std::string()))> items;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
      items.push_back(
          read(list[i], Path(name) + "[" + std::to_string(i) + "]"));
    }
    return items;
  }

 private:
  std::string Path(const char* name) const {
    return m_path.empty() ? name : m_path + "." + name;
  }

  const Json::Value& Member(const char* name) const {
    if (!m_value.isMember(name)) {
      throw PeerDecodeError(PeerDecodeFault::kMissing, Path(name));
    }
    return m_value[name];
  }

  const Json::Value& m_value;
  std::string m_path;
};

std::string ReadIdItem(const Json::Value& item, const std::string& path) {
  if (!item.isString()) {
    throw PeerDecodeError(PeerDecodeFault::kWrongType, path);
  }
  std::string text = item.asString();
  if (text.empty() || text.size() > kMaxIdLength) {
    throw PeerDecodeError(
        text.empty() ? PeerDecodeFault::kOutOfRange : PeerDecodeFault::kTooLong,
        path);
  }
  return text;
}

Json::Value EncodeIdentity(const PeerIdentity& identity) {
  Json::Value json(Json::objectValue);
  json["instance"] = identity.instance.value();
  json["incarnation"] = Json::UInt64(identity.incarnation.value());
  json["address"] = identity.address;
  json["data_centre"] = identity.data_centre.value();
  return json;
}

PeerIdentity DecodeIdentity(const ObjectReader& reader) {
  return {InstanceId(reader.NonEmptyText("instance")),
          Incarnation(reader.Number("incarnation")),
          reader.NonEmptyText("address"),
          DataCentreId(reader.NonEmptyText("data_centre"))};
}

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
  const ObjectReader reader(params, "");
  DigestRequest digest;
  digest.from = DecodeIdentity(reader.Object("from"));
  digest.settings_hash = reader.Number("settings_hash");
  digest.greatest_revision = Revision(reader.Number("greatest_revision"));
  digest.leaving = reader.Boolean("leaving");
  digest.quarantine = reader.List("quarantine", [](const Json::Value& item,
                                                   const std::string& path) {
    const ObjectReader entry(item, path);
    return QuarantineEntry{
        TeamId(entry.NonEmptyText("team")),
        Fingerprint(entry.Number("fingerprint")),
        std::chrono::milliseconds(entry.Number("expires_in_ms", kMaxExpiryMs))};
  });
  digest.draining_servers = reader.List(
      "draining_servers", [](const Json::Value& item, const std::string& path) {
        return ServerId(ReadIdItem(item, path));
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
  const ObjectReader reader(params, "");
  return {DecodeIdentity(reader.Object("from")),
          reader.List("subtrees", ReadIdItem)};
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
  const ObjectReader reader(result, "");
  return {DecodeIdentity(reader.Object("from")),
          reader.List("revisions", [](const Json::Value& item,
                                      const std::string& path) {
            const ObjectReader entry(item, path);
            return SubtreeRevision{entry.NonEmptyText("subtree"),
                                   Revision(entry.Number("revision"))};
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
  const ObjectReader reader(result, "");
  return {reader.List(
      "subtrees", [](const Json::Value& item, const std::string& path) {
        const ObjectReader entry(item, path);
        return PulledSubtree{entry.NonEmptyText("subtree"),
                             Revision(entry.Number("revision")),
                             entry.Text("text", config::kMaxSettingsBytes)};
      })};
}

}  // namespace

PeerDecodeError::PeerDecodeError(PeerDecodeFault fault, std::string path)
    : std::runtime_error((path.empty() ? "message" : path) + ": " +
                         Describe(fault)),
      m_fault(fault),
      m_path(std::move(path)) {}

std::string MethodOf(const PeerRequest& request) {
  return std::holds_alternative<DigestRequest>(request) ? kDigestMethod
                                                        : kPullMethod;
}

Json::Value Encode(const PeerRequest& request) {
  if (const auto* digest = std::get_if<DigestRequest>(&request)) {
    return EncodeDigest(*digest);
  }
  return EncodePull(std::get<PullRequest>(request));
}

Json::Value Encode(const PeerResponse& response) {
  if (const auto* digest = std::get_if<DigestResponse>(&response)) {
    return EncodeDigestResponse(*digest);
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
  throw PeerDecodeError(PeerDecodeFault::kUnknownMethod, method);
}

PeerResponse DecodeResponse(const std::string& method,
                            const Json::Value& result) {
  if (method == kDigestMethod) {
    return DecodeDigestResponse(result);
  }
  if (method == kPullMethod) {
    return DecodePullResponse(result);
  }
  throw PeerDecodeError(PeerDecodeFault::kUnknownMethod, method);
}

}  // namespace wasabihook
