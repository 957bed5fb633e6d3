#ifndef SRC_PEERS_INSTANCE_OBJECT_READER_H_
#define SRC_PEERS_INSTANCE_OBJECT_READER_H_

// Private to src/peers/instance: checked access to members of JSON objects.

#include <jsoncpp/json/json.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peers/instance/peer_codec.h"
#include "wasabihook/config.h"

namespace wasabihook {

inline constexpr size_t kMaxPeerIdLength = 256;

// Reads members of one JSON object, naming the path of what is at fault.
class ObjectReader {
 public:
  ObjectReader(const Json::Value& value, std::string path)
      : m_value(value), m_path(std::move(path)) {
    if (!value.isObject()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, m_path);
    }
  }

  std::string Text(const char* name,
                   size_t max_length = kMaxPeerIdLength) const {
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

  // A number from 0 to 1.
  Fraction Share(const char* name) const {
    const Json::Value& value = Member(name);
    if (!value.isNumeric()) {
      throw PeerDecodeError(PeerDecodeFault::kWrongType, Path(name));
    }
    const double number = value.asDouble();
    if (!(number >= 0 && number <= 1)) {
      throw PeerDecodeError(PeerDecodeFault::kOutOfRange, Path(name));
    }
    return Fraction{number};
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
    if (list.size() > config::kMaxPeerMessageListLength) {
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

inline std::string ReadIdItem(const Json::Value& item,
                              const std::string& path) {
  if (!item.isString()) {
    throw PeerDecodeError(PeerDecodeFault::kWrongType, path);
  }
  std::string text = item.asString();
  if (text.empty() || text.size() > kMaxPeerIdLength) {
    throw PeerDecodeError(
        text.empty() ? PeerDecodeFault::kOutOfRange : PeerDecodeFault::kTooLong,
        path);
  }
  return text;
}

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_OBJECT_READER_H_
