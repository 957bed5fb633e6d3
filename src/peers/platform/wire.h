#ifndef SRC_PEERS_PLATFORM_WIRE_H_
#define SRC_PEERS_PLATFORM_WIRE_H_

// Wire format of the platform protocol, see docs/platform-protocol.md. Decoding
// validates every field; a malformed response is treated as a lost response.

#include <optional>
#include <string>
#include <string_view>

#include "wasabihook/platform.h"

namespace wasabihook::platform {

struct WireResponse {
  int status = 0;
  std::string body;
};

// Request bodies. EncodeValue() throws std::invalid_argument if `value` is not
// valid UTF-8.
std::string EncodeValue(const std::string& value);
std::string EncodeInstance(const ListedInstance& instance);
// Both return std::nullopt if the body is malformed.
std::optional<std::string> DecodeValue(std::string_view body);
std::optional<ListedInstance> DecodeInstance(std::string_view body);

// Responses. Errors other than kNotFound, kConflict and kTooLarge are encoded
// as kUnavailable, which means that the request had no effect. The server must
// therefore not encode kUnknown.
WireResponse EncodeGet(const GetResult& result);
WireResponse EncodeWrite(const std::string& key, const WriteResult& result);
WireResponse EncodeList(const ListResult& result);
WireResponse EncodeInstances(const InstanceListResult& result);
WireResponse EncodeStatus(StoreStatus status);
WireResponse EncodeBadRequest(const std::string& reason);

// A malformed response is decoded as kUnknown.
GetResult DecodeGet(const WireResponse& response, const std::string& key);
WriteResult DecodeWrite(const WireResponse& response, const std::string& key);
ListResult DecodeList(const WireResponse& response, const std::string& prefix);
InstanceListResult DecodeInstances(const WireResponse& response);
StoreStatus DecodeStatus(const WireResponse& response);

// Percent-encodes all but unreserved characters and, if `keep_slash`, '/'.
std::string PercentEncode(std::string_view text, bool keep_slash);
// Returns std::nullopt if an escape is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

}  // namespace wasabihook::platform

#endif  // SRC_PEERS_PLATFORM_WIRE_H_
