#ifndef SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MESSAGE_H_
#define SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MESSAGE_H_

// PRIVATE HEADER. Calls between instances about allowances, encoded as
// MessagePack. Decoders throw an exception derived from std::exception if the
// text is malformed.

#include <string>
#include <string_view>
#include <vector>

#include "gateway/allowance/allowance_ledger.h"

namespace wasabihook::gateway {

std::string EncodeClaims(const std::vector<AllowanceClaim>& claims);
std::vector<AllowanceClaim> DecodeClaims(std::string_view text);
std::string EncodeGrants(const std::vector<AllowanceGrant>& grants);
std::vector<AllowanceGrant> DecodeGrants(std::string_view text);
std::string EncodeTransfers(const std::vector<AllowanceTransfer>& transfers);
std::vector<AllowanceTransfer> DecodeTransfers(std::string_view text);
std::string EncodeTransferReplies(
    const std::vector<AllowanceTransferReply>& replies);
std::vector<AllowanceTransferReply> DecodeTransferReplies(
    std::string_view text);

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_ALLOWANCE_ALLOWANCE_MESSAGE_H_
