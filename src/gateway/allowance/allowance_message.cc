#include "gateway/allowance/allowance_message.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wasabihook::gateway {
namespace {

using nlohmann::json;

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
                   grant.wait.count(), grant.spread.count(), grant.share});
  return Pack(out);
}

std::vector<AllowanceGrant> DecodeGrants(std::string_view text) {
  std::vector<AllowanceGrant> out;
  for (const json& item : Unpack(text))
    out.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                   .granted = item.at(1).get<uint32_t>(),
                   .ask_first = item.at(2).get<bool>(),
                   .wait = Micros(item.at(3)),
                   .spread = Micros(item.at(4)),
                   .share = Amount(item.at(5), 1)});
  return out;
}

}  // namespace wasabihook::gateway
