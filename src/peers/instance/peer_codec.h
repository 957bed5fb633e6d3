#ifndef SRC_PEERS_INSTANCE_PEER_CODEC_H_
#define SRC_PEERS_INSTANCE_PEER_CODEC_H_

// Wire format of the messages between instances: params and results of JSON-RPC
// 2.0 calls. Decoding validates every type, range and length. Unknown members
// are ignored, so that a newer version can add members during a rolling
// upgrade.

#include <jsoncpp/json/json.h>

#include <stdexcept>
#include <string>

#include "wasabihook/peer.h"

namespace wasabihook {

enum class PeerDecodeErrorKind : uint8_t {
  kMissing,
  kWrongType,
  kOutOfRange,
  kTooLong,
  kUnknownMethod,
};

class PeerDecodeError : public std::runtime_error {
 public:
  PeerDecodeError(PeerDecodeErrorKind kind, std::string path);
  PeerDecodeErrorKind kind() const { return m_kind; }
  // Path of the invalid member, such as "from.address".
  const std::string& path() const { return m_path; }

 private:
  PeerDecodeErrorKind m_kind;
  std::string m_path;
};

inline constexpr char kDigestMethod[] = "digest";
inline constexpr char kPullMethod[] = "pull";
inline constexpr char kBurnCountsMethod[] = "burn_counts";
// HTTP path on which the peer protocol is served.
inline constexpr char kPeerPath[] = "/v1/peer";

std::string MethodName(const PeerRequest& request);
Json::Value Encode(const PeerRequest& request);
Json::Value Encode(const PeerResponse& response);

// Both throw PeerDecodeError.
PeerRequest DecodeRequest(const std::string& method, const Json::Value& params);
// `method` is the method of the request.
PeerResponse DecodeResponse(const std::string& method,
                            const Json::Value& result);

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_PEER_CODEC_H_
