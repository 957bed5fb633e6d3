#ifndef SRC_DECISION_SETTINGS_SETTINGS_PARSER_H_
#define SRC_DECISION_SETTINGS_SETTINGS_PARSER_H_

// Parses the TOML text of a subtree into typed settings. A text is accepted as
// a whole or rejected with a list of all its problems.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "decision/settings/settings_schema.h"

namespace wasabihook {

// Subtree with the settings of the whole deployment.
inline constexpr std::string_view kFleetSubtree = "fleet";
inline constexpr std::string_view kTeamSubtreePrefix = "teams/";
// Prefix of all subtrees in the key-value service.
inline constexpr std::string_view kSettingsKeyPrefix = "settings/";

struct SettingsProblem {
  std::string path;   // Dotted path of the key; empty for the whole text.
  uint32_t line = 0;  // 1-based; 0 if the key is missing.
  std::string value;  // As written; empty if the key is missing.
  std::string allowed;
};

// "line 3: limits.max_queued = -1; allowed: integer from 0 to 100000".
std::string ToString(const SettingsProblem& problem);

class InvalidSettings : public std::runtime_error {
 public:
  explicit InvalidSettings(std::vector<SettingsProblem> problems);
  const std::vector<SettingsProblem>& problems() const { return m_problems; }

 private:
  std::vector<SettingsProblem> m_problems;
};

// Returns true for "fleet" and "teams/<name>".
bool IsSubtreeName(std::string_view subtree);

// Both throw InvalidSettings.
TeamDocument ParseTeamSettings(const TeamId& team,
                               Revision revision,
                               std::string_view text);
FleetDocument ParseFleetSettings(Revision revision, std::string_view text);

// Returns the problems of the text of `subtree`; empty if it is valid.
std::vector<SettingsProblem> CheckSettings(std::string_view subtree,
                                           std::string_view text);
// Returns the change ids in a text, even if its settings are invalid; empty if
// there are none.
std::vector<std::string> ReadChangeIds(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_PARSER_H_
