#ifndef SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_
#define SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_

// Schema of the settings: the section, type, unit, range, default and meaning
// of each key. The parser, the validation and docs/settings.md derive from it.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wasabihook/settings.h"

namespace wasabihook {

enum class SettingKind : uint8_t {
  kInteger,
  kMilliseconds,
  kFraction,
  kBoolean,
  kChoice,      // One of a fixed set of strings.
  kName,        // Letters, digits, '-', '_' and '.'.
  kNameList,    // List of kName.
  kServerList,  // List of "ip:port@data-centre".
};

using SettingValue =
    std::variant<int64_t, double, bool, std::string, std::vector<std::string>>;

struct SettingRange {
  double min = 0;
  double max = 0;
};

struct SettingInfo {
  // Table that contains the key; "<name>" stands for a name chosen by the
  // operator and "[]" marks a list of tables.
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kInteger;
  // Bounds of a number or of the length of a list.
  SettingRange range;
  std::vector<std::string> choices;
  // Empty if the key is required.
  std::optional<SettingValue> default_value;
  std::string meaning;
};

template <typename Target>
struct SettingField {
  SettingInfo info;
  // `value` has been validated against `info`.
  std::function<void(Target& target, const SettingValue& value)> set;
};

// Parsed subtree of one team, with the ids of its changes.
struct TeamDocument {
  TeamSettings settings;
  // Ids of the latest changes, newest last; they show whether a write whose
  // response was lost has been applied.
  std::vector<std::string> change_ids;
};

struct FleetDocument {
  FleetSettings settings;
  std::vector<std::string> change_ids;
};

// Sections whose names contain a name chosen by the operator.
inline constexpr std::string_view kIndexSetSection = "index_sets.<name>";
inline constexpr std::string_view kGroupSection = "index_sets.<name>.groups[]";

const std::vector<SettingField<TeamDocument>>& TeamFields();
const std::vector<SettingField<IndexSetSnapshot>>& IndexSetFields();
const std::vector<SettingField<ShardGroup>>& GroupFields();
const std::vector<SettingField<FleetDocument>>& FleetFields();

// Describes the allowed values, such as "integer from 1 to 10000 ms".
std::string DescribeAllowed(const SettingInfo& info);
std::string FormatValue(const SettingValue& value);
// Returns all keys of both subtrees as Markdown tables, the generated part of
// docs/settings.md.
std::string SchemaAsMarkdown();
// Returns all keys of both subtrees as a JSON document.
std::string SchemaAsJson();

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_
