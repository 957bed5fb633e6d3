#include "gateway/fleet_message.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace wasabihook::gateway {
namespace {

using nlohmann::json;

constexpr const char* kWantsAll = "all";
constexpr const char* kObservations = "observations";
constexpr const char* kCrashes = "crashes";
constexpr const char* kSurvivals = "survivals";
constexpr const char* kLimits = "limits";
constexpr const char* kLeaving = "leaving";
constexpr const char* kTeamDemand = "team_demand";
constexpr const char* kPaces = "paces";
constexpr const char* kAllowanceMarks = "allowances";
constexpr const char* kDemand = "demand";
constexpr const char* kDemandInstances = "demand_instances";

int64_t AgeMillis(TimePoint at, TimePoint now) {
  return std::max<int64_t>((now - at).count() / 1000, 0);
}

TimePoint FromAge(const json& age_ms, TimePoint now) {
  return now -
         std::chrono::milliseconds(std::max<int64_t>(age_ms.get<int64_t>(), 0));
}

CrashNews DecodeCrashNews(const json& in, TimePoint now) {
  CrashNews out;
  for (const json& item : in.value(kCrashes, json::array()))
    out.crashes.push_back(
        {.fingerprint = Fingerprint(item.at(0).get<uint64_t>()),
         .service = ServiceKey(item.at(1).get<uint32_t>()),
         .server = ServerKey(item.at(2).get<uint32_t>()),
         .caller_attempt = CallerAttemptKey(item.at(3).get<uint32_t>()),
         .at = FromAge(item.at(4), now)});
  for (const json& item : in.value(kSurvivals, json::array()))
    out.survivals.push_back(
        {.fingerprint = Fingerprint(item.at(0).get<uint64_t>()),
         .service = ServiceKey(item.at(1).get<uint32_t>()),
         .caller_attempt = CallerAttemptKey(item.at(2).get<uint32_t>()),
         .at = FromAge(item.at(3), now)});
  return out;
}

// A limit that has ended is sent as null.
std::vector<LimitStatement> DecodeLimits(const json& in, TimePoint now) {
  std::vector<LimitStatement> out;
  for (const json& item : in.value(kLimits, json::array())) {
    const json& rate = item.at(1);
    out.push_back({.server = ServerKey(item.at(0).get<uint32_t>()),
                   .per_second = rate.is_null()
                                     ? std::nullopt
                                     : std::optional(rate.get<double>()),
                   .at = FromAge(item.at(2), now)});
  }
  return out;
}

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message, TimePoint now) {
  json out = json::object();
  if (message.wants_all)
    out[kWantsAll] = true;
  if (!message.observations.empty()) {
    const std::string text = EncodeObservations(message.observations);
    out[kObservations] =
        json::binary(std::vector<uint8_t>(text.begin(), text.end()));
  }
  for (const auto& [server, per_second] : message.demand.per_second)
    out[kDemand].push_back({server.value(), per_second});
  if (message.demand.instances > 0)
    out[kDemandInstances] = message.demand.instances;
  for (const CrashReport& crash : message.crash_news.crashes)
    out[kCrashes].push_back({crash.fingerprint.value(), crash.service.value(),
                             crash.server.value(), crash.caller_attempt.value(),
                             AgeMillis(crash.at, now)});
  for (const SurvivalReport& survival : message.crash_news.survivals)
    out[kSurvivals].push_back(
        {survival.fingerprint.value(), survival.service.value(),
         survival.caller_attempt.value(), AgeMillis(survival.at, now)});
  for (const LimitStatement& limit : message.limits)
    out[kLimits].push_back(
        {limit.server.value(),
         limit.per_second ? json(*limit.per_second) : json(nullptr),
         AgeMillis(limit.at, now)});
  for (const LeavingStatement& statement : message.leaving)
    out[kLeaving].push_back(
        {statement.server.value(), AgeMillis(statement.at, now)});
  for (const auto& [team, work] : message.team_demand) {
    if (out[kTeamDemand].size() < kMaxTeamsInMessage)
      out[kTeamDemand].push_back({team.value(), work});
  }
  if (!message.paces.empty()) {
    const std::string text = EncodePaces(message.paces);
    out[kPaces] = json::binary(std::vector<uint8_t>(text.begin(), text.end()));
  }
  for (const AllowanceMark& mark : message.allowance_marks)
    out[kAllowanceMarks].push_back(
        {mark.team.value(), mark.ask_first, AgeMillis(mark.at, now)});
  std::string text;
  json::to_msgpack(out, text);
  return text;
}

FleetMessage DecodeFleetMessage(std::string_view text, TimePoint now) {
  const json in = json::from_msgpack(text);
  FleetMessage out;
  out.wants_all = in.value(kWantsAll, false);
  if (const auto found = in.find(kObservations); found != in.end()) {
    const json::binary_t& bytes = found->get_binary();
    out.observations =
        DecodeObservations(std::string(bytes.begin(), bytes.end()));
  }
  out.crash_news = DecodeCrashNews(in, now);
  out.limits = DecodeLimits(in, now);
  for (const json& item : in.value(kLeaving, json::array()))
    out.leaving.push_back({.server = ServerKey(item.at(0).get<uint32_t>()),
                           .at = FromAge(item.at(1), now)});
  for (const json& item : in.value(kTeamDemand, json::array()))
    out.team_demand[TeamKey(item.at(0).get<uint64_t>())] =
        std::max(item.at(1).get<double>(), 0.0);
  if (const auto found = in.find(kPaces); found != in.end()) {
    const json::binary_t& bytes = found->get_binary();
    out.paces = DecodePaces(std::string(bytes.begin(), bytes.end()));
  }
  for (const json& item : in.value(kAllowanceMarks, json::array()))
    out.allowance_marks.push_back({.team = TeamKey(item.at(0).get<uint64_t>()),
                                   .ask_first = item.at(1).get<bool>(),
                                   .at = FromAge(item.at(2), now)});
  for (const json& item : in.value(kDemand, json::array()))
    out.demand.per_second[ServerKey(item.at(0).get<uint32_t>())] =
        std::max(item.at(1).get<double>(), 0.0);
  out.demand.instances = in.value(kDemandInstances, uint32_t{0});
  return out;
}

}  // namespace wasabihook::gateway
