#include "gateway/allowance/allowance_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wasabihook::gateway {
namespace {

using nlohmann::json;

// Above what a ledger of the largest allowance holds.
constexpr double kMaxTokens = 100 * kMaxAllowance;

std::string Pack(const json& list) {
  std::string out;
  json::to_msgpack(list, out);
  return out;
}

json Unpack(std::string_view text) {
  json out = json::from_msgpack(text);
  if (!out.is_array() || out.size() > kMaxClaimsInCall)
    throw std::runtime_error("not a list of claims or grants");
  return out;
}

double Amount(const json& in, double most) {
  const double out = in.get<double>();
  if (!std::isfinite(out) || out < 0 || out > most)
    throw std::runtime_error("amount out of range");
  return out;
}

Duration Micros(const json& in) {
  constexpr int64_t kMost = 3'600'000'000;
  return Duration(std::clamp<int64_t>(in.get<int64_t>(), 0, kMost));
}

}  // namespace

std::string EncodeClaims(const std::vector<AllowanceClaim>& claims) {
  json out = json::array();
  for (const AllowanceClaim& claim : claims)
    out.push_back({claim.team.value(), claim.allowance.rate,
                   claim.allowance.burst, claim.version.value(), claim.used,
                   claim.returned, claim.wanted});
  return Pack(out);
}

std::vector<AllowanceClaim> DecodeClaims(std::string_view text) {
  std::vector<AllowanceClaim> out;
  for (const json& item : Unpack(text))
    out.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                   .allowance = {.rate = Amount(item.at(1), kMaxAllowance),
                                 .burst = Amount(item.at(2), kMaxAllowance)},
                   .version = ConfigVersion(item.at(3).get<uint64_t>()),
                   .used = item.at(4).get<uint32_t>(),
                   .returned = item.at(5).get<uint32_t>(),
                   .wanted = item.at(6).get<uint32_t>()});
  return out;
}

std::string EncodeGrants(const std::vector<AllowanceGrant>& grants) {
  json out = json::array();
  for (const AllowanceGrant& grant : grants)
    out.push_back({grant.team.value(), grant.granted, grant.ask_first,
                   grant.more_expected, grant.wait.count(),
                   grant.spread.count()});
  return Pack(out);
}

std::vector<AllowanceGrant> DecodeGrants(std::string_view text) {
  std::vector<AllowanceGrant> out;
  for (const json& item : Unpack(text))
    out.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                   .granted = item.at(1).get<uint32_t>(),
                   .ask_first = item.at(2).get<bool>(),
                   .more_expected = item.at(3).get<bool>(),
                   .wait = Micros(item.at(4)),
                   .spread = Micros(item.at(5))});
  return out;
}

std::string EncodeTransfers(const std::vector<AllowanceTransfer>& transfers) {
  json out = json::array();
  for (const AllowanceTransfer& transfer : transfers)
    out.push_back({transfer.team.value(), transfer.allowance.rate,
                   transfer.allowance.burst, transfer.version.value(),
                   transfer.wanted});
  return Pack(out);
}

std::vector<AllowanceTransfer> DecodeTransfers(std::string_view text) {
  std::vector<AllowanceTransfer> out;
  for (const json& item : Unpack(text))
    out.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                   .allowance = {.rate = Amount(item.at(1), kMaxAllowance),
                                 .burst = Amount(item.at(2), kMaxAllowance)},
                   .version = ConfigVersion(item.at(3).get<uint64_t>()),
                   .wanted = Amount(item.at(4), kMaxTokens)});
  return out;
}

std::string EncodeTransferReplies(
    const std::vector<AllowanceTransferReply>& replies) {
  json out = json::array();
  for (const AllowanceTransferReply& reply : replies)
    out.push_back({reply.team.value(), reply.given, reply.left});
  return Pack(out);
}

std::vector<AllowanceTransferReply> DecodeTransferReplies(
    std::string_view text) {
  std::vector<AllowanceTransferReply> out;
  for (const json& item : Unpack(text))
    out.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                   .given = Amount(item.at(1), kMaxTokens),
                   .left = Amount(item.at(2), kMaxTokens)});
  return out;
}

}  // namespace wasabihook::gateway
