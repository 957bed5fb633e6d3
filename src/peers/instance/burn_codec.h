#ifndef SRC_PEERS_INSTANCE_BURN_CODEC_H_
#define SRC_PEERS_INSTANCE_BURN_CODEC_H_

// Wire format of burn counts. Internal to src/peers/instance.

#include <jsoncpp/json/json.h>

#include "peers/instance/json_object_reader.h"
#include "wasabihook/peer.h"

namespace wasabihook {

Json::Value EncodeIdentity(const PeerIdentity& identity);
PeerIdentity DecodeIdentity(const JsonObjectReader& reader);

Json::Value EncodeBurnRequest(const BurnCountsRequest& request);
Json::Value EncodeBurnResponse(const BurnCountsResponse& response);
// Both throw PeerDecodeError.
BurnCountsRequest DecodeBurnRequest(const Json::Value& params);
BurnCountsResponse DecodeBurnResponse(const Json::Value& result);

}  // namespace wasabihook

#endif  // SRC_PEERS_INSTANCE_BURN_CODEC_H_
