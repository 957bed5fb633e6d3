#ifndef SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_
#define SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_

// Every key of the settings: place, type, unit, range, default and meaning.
// The parser, the check and docs/settings.md are driven by these tables.

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
  // Table that holds the key; "<name>" stands for a name given by the operator
  // and "[]" marks a list of tables.
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kInteger;
  // Bounds of a number, or of the number of items of a list.
  SettingRange range;
  std::vector<std::string> choices;
  // Empty if the key must be given.
  std::optional<SettingValue> default_value;
  std::string meaning;
};

template <typename Target>
struct SettingField {
  SettingInfo info;
  // `value` was checked against `info`.
  std::function<void(Target& target, const SettingValue& value)> set;
};

// A whole subtree as written by an operator.
struct TeamDocument {
  TeamSettings settings;
  // Ids of the last changes, newest last; settle writes with lost responses.
  std::vector<std::string> change_ids;
};

struct FleetDocument {
  FleetSettings settings;
  std::vector<std::string> change_ids;
};

// Sections of a table whose entries are named by the operator.
inline constexpr std::string_view kIndexSetSection = "index_sets.<name>";
inline constexpr std::string_view kGroupSection = "index_sets.<name>.groups[]";

const std::vector<SettingField<TeamDocument>>& TeamFields();
const std::vector<SettingField<IndexSetSnapshot>>& IndexSetFields();
const std::vector<SettingField<ShardGroup>>& GroupFields();
const std::vector<SettingField<FleetDocument>>& FleetFields();

// Allowed values in words, such as "integer from 1 to 10000 ms".
std::string DescribeAllowed(const SettingInfo& info);
std::string FormatValue(const SettingValue& value);
// All keys of both subtrees as Markdown tables; the body of docs/settings.md.
std::string SchemaAsMarkdown();
// The same as a JSON document.
std::string SchemaAsJson();

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_SETTINGS_SCHEMA_H_
