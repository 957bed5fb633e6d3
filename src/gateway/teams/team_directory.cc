#include "gateway/teams/team_directory.h"

#include <xxhash.h>

#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <unordered_set>

#include "gateway/gateway_settings.h"
#include "gateway/message_syntax.h"

namespace wasabihook::gateway {
namespace {

bool IsAmount(double value) {
  return std::isfinite(value) && value >= 0 && value <= kMaxAllowance;
}

void Check(const TeamConfig& team) {
  if (!IsVisibleText(team.id.value()))
    throw std::runtime_error(
        "the name of a team can't be the value of a field");
  if (!IsAmount(team.allowance.rate) || !IsAmount(team.allowance.burst))
    throw std::runtime_error("the allowance of team " + team.id.value() +
                             " is out of range");
}

}  // namespace

TeamDirectory::TeamDirectory(const std::vector<TeamConfig>& teams) {
  if (teams.size() > kMaxTeams)
    throw std::runtime_error("there are " + std::to_string(teams.size()) +
                             " teams");
  std::unordered_set<std::string> names;
  for (const TeamConfig& config : teams) {
    Check(config);
    const std::string& name = config.id.value();
    if (!names.insert(name).second)
      throw std::runtime_error("team " + name + " occurs twice");
    auto team = std::make_shared<const Team>(
        Team{.id = config.id,
             .key = TeamKey(XXH64(name.data(), name.size(), 0)),
             .priority = config.priority,
             .allowance = config.allowance});
    AddKeys(config, team);
    m_teams.push_back(std::move(team));
  }
}

void TeamDirectory::AddKeys(const TeamConfig& config, const TeamPtr& team) {
  for (const std::string& key : config.api_keys) {
    if (!IsVisibleText(key))
      throw std::runtime_error("a key of team " + team->id.value() +
                               " can't be the value of a field");
    if (const auto [known, added] = m_keys.emplace(key, team); !added)
      throw std::runtime_error("key " + KeyDigest(key) + " of team " +
                               team->id.value() + " belongs to team " +
                               known->second->id.value() + " already");
    if (m_keys.size() > kMaxApiKeys)
      throw std::runtime_error("there are more than " +
                               std::to_string(kMaxApiKeys) + " keys");
  }
}

TeamPtr TeamDirectory::FindByKey(std::string_view api_key) const {
  const auto found = m_keys.find(api_key);
  return found == m_keys.end() ? nullptr : found->second;
}

std::string KeyDigest(std::string_view api_key) {
  if (api_key.empty())
    return "";
  char text[16];
  std::snprintf(text, sizeof(text), "%08x",
                static_cast<unsigned>(XXH64(api_key.data(), api_key.size(), 0) &
                                      0xffffffff));
  return text;
}

const char* ToString(CallerStatus status) {
  switch (status) {
    case CallerStatus::kAccepted:
      return "accepted";
    case CallerStatus::kNoKey:
      return "no_key";
    case CallerStatus::kSeveralKeys:
      return "several_keys";
    case CallerStatus::kUnknownKey:
      return "unknown_key";
  }
  return "";
}

CallerIdentity IdentifyCaller(const TeamDirectory& teams,
                              const HeaderList& headers,
                              std::string_view api_key_field,
                              bool is_public) {
  if (!teams.requires_keys())
    return {};
  const size_t keys = headers.Count(api_key_field);
  TeamPtr team =
      keys == 1 ? teams.FindByKey(headers.Find(api_key_field)) : nullptr;
  if (team != nullptr || is_public)
    return {.status = CallerStatus::kAccepted, .team = std::move(team)};
  if (keys == 0)
    return {.status = CallerStatus::kNoKey, .team = nullptr};
  return {.status =
              keys > 1 ? CallerStatus::kSeveralKeys : CallerStatus::kUnknownKey,
          .team = nullptr};
}

}  // namespace wasabihook::gateway
