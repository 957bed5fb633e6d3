#ifndef SRC_PEERS_INSTANCE_JSON_OBJECT_READER_H_
#define SRC_PEERS_INSTANCE_JSON_OBJECT_READER_H_

// Validated access to the members of JSON objects. Internal to
// src/peers/instance.

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peers/instance/peer_codec.h"
#include "wasabihook/config.h"

namespace wasabihook {

inline constexpr size_t kMaxPeerIdLength = 256;

// Reads the members of one JSON object. All getters throw PeerDecodeError with
// the path of the invalid member.
class JsonObjectReader {
 public:
  JsonObjectReader(const Json::Value& value, std::string path)
      : m_value(value), m_path(std::move(path)) {
    if (!value.isObject()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, m_path);
    }
  }

  std::string GetString(const char* name,
                        size_t max_length = kMaxPeerIdLength) const {
    const Json::Value& value = RequireMember(name);
    if (!value.isString()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, MemberPath(name));
    }
    std::string text = value.asString();
    if (text.size() > max_length) {
      throw PeerDecodeError(PeerDecodeErrorKind::kTooLong, MemberPath(name));
    }
    return text;
  }

  std::string GetNonEmptyString(const char* name) const {
    std::string text = GetString(name);
    if (text.empty()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kOutOfRange, MemberPath(name));
    }
    return text;
  }

  uint64_t GetUint64(const char* name, uint64_t max = UINT64_MAX) const {
    const Json::Value& value = RequireMember(name);
    const bool is_integer =
        value.type() == Json::intValue || value.type() == Json::uintValue;
    if (!is_integer) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, MemberPath(name));
    }
    if (!value.isUInt64() || value.asUInt64() > max) {
      throw PeerDecodeError(PeerDecodeErrorKind::kOutOfRange, MemberPath(name));
    }
    return value.asUInt64();
  }

  // Returns a number from 0 to 1.
  Fraction GetFraction(const char* name) const {
    const Json::Value& value = RequireMember(name);
    if (!value.isNumeric()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, MemberPath(name));
    }
    const double number = value.asDouble();
    if (!(number >= 0 && number <= 1)) {
      throw PeerDecodeError(PeerDecodeErrorKind::kOutOfRange, MemberPath(name));
    }
    return Fraction{number};
  }

  bool GetBool(const char* name) const {
    const Json::Value& value = RequireMember(name);
    if (!value.isBool()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, MemberPath(name));
    }
    return value.asBool();
  }

  JsonObjectReader GetObject(const char* name) const {
    return {RequireMember(name), MemberPath(name)};
  }

  // Calls `decode(item, path)` for each element of an array and returns the
  // results.
  template <typename Decode>
  auto GetList(const char* name, Decode decode) const {
    const Json::Value& list = RequireMember(name);
    if (!list.isArray()) {
      throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, MemberPath(name));
    }
    if (list.size() > config::kMaxPeerMessageListLength) {
      throw PeerDecodeError(PeerDecodeErrorKind::kTooLong, MemberPath(name));
    }
    std::vector<decltype(decode(list, std::string()))> items;
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
      items.push_back(
          decode(list[i], MemberPath(name) + "[" + std::to_string(i) + "]"));
    }
    return items;
  }

 private:
  std::string MemberPath(const char* name) const {
    return m_path.empty() ? name : m_path + "." + name;
  }

  const Json::Value& RequireMember(const char* name) const {
    if (!m_value.isMember(name)) {
      throw PeerDecodeError(PeerDecodeErrorKind::kMissing, MemberPath(name));
    }
    return m_value[name];
  }

  const Json::Value& m_value;
  std::string m_path;
};

inline std::string ReadId(const Json::Value& item, const std::string& path) {
  if (!item.isString()) {
    throw PeerDecodeError(PeerDecodeErrorKind::kWrongType, path);
  }
  std::string text = item.asString();
  if (text.empty() || text.size() > kMaxPeerIdLength) {
    throw PeerDecodeError(text.empty() ? PeerDecodeErrorKind::kOutOfRange
                                       : PeerDecodeErrorKind::kTooLong,
                          path);
  }
  return text;
}

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_JSON_OBJECT_READER_H_
