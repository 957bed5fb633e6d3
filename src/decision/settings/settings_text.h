#ifndef SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_
#define SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_

// Operations on the TOML text of a subtree by key: difference and merge. A
// list, such as the groups of an index set, counts as one key.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabihook {

// A key whose value differs; an empty value means that the key is absent.
struct SettingsDifference {
  std::string path;
  std::optional<std::string> before;
  std::optional<std::string> after;
};

// A key that two changes of the same base both touch, differently.
struct SettingsConflict {
  std::string path;
  std::optional<std::string> base;
  std::optional<std::string> ours;
  std::optional<std::string> theirs;
};

struct SettingsMerge {
  // Merged TOML; valid if there is no conflict.
  std::string text;
  std::vector<SettingsConflict> conflicts;
};

// All throw InvalidSettings if a text is no TOML. The `[change]` table is left
// out of differences and merges.
std::vector<SettingsDifference> DiffSettings(std::string_view before,
                                             std::string_view after);
SettingsMerge MergeSettings(std::string_view base,
                            std::string_view ours,
                            std::string_view theirs);
// `text` with the list of change ids replaced.
std::string WithChangeIds(std::string_view text,
                          const std::vector<std::string>& ids);
// Subtree that a file is meant for: "teams/<name>" if it names a team,
// otherwise "fleet".
std::string InferSubtree(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_
