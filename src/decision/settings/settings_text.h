#ifndef SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_
#define SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_

// Key-wise difference and three-way merge of the TOML text of a subtree. A
// list, such as the groups of an index set, is treated as a single value.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabihook {

// A key whose value differs; an empty optional means that the key is absent.
struct SettingsDifference {
  std::string path;
  std::optional<std::string> before;
  std::optional<std::string> after;
};

// A key that two changes of the same base modify differently.
struct SettingsConflict {
  std::string path;
  std::optional<std::string> base;
  std::optional<std::string> ours;
  std::optional<std::string> theirs;
};

struct SettingsMerge {
  // Merged TOML; meaningful only if there is no conflict.
  std::string text;
  std::vector<SettingsConflict> conflicts;
};

// All throw InvalidSettings if a text is not valid TOML. Differences and merges
// ignore the `[change]` table.
std::vector<SettingsDifference> DiffSettings(std::string_view before,
                                             std::string_view after);
SettingsMerge MergeSettings(std::string_view base,
                            std::string_view ours,
                            std::string_view theirs);
// Returns `text` with its list of change ids replaced.
std::string WithChangeIds(std::string_view text,
                          const std::vector<std::string>& ids);
// Returns "teams/<name>" if `text` names a team, otherwise "fleet". Does not
// throw.
std::string InferSubtree(std::string_view text);

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_TEXT_H_
