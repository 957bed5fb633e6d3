#ifndef SRC_DECISION_SETTINGS_TABLE_READER_H_
#define SRC_DECISION_SETTINGS_TABLE_READER_H_

// Internal to src/decision/settings: reads TOML tables according to the schema.

#include <toml++/toml.h>
#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/settings/settings_parser.h"
#include "decision/settings/settings_schema.h"

namespace wasabihook {

// Returns `node` as TOML on one line, truncated if it is long.
std::string FormatNode(const toml::node& node);
// Returns the value of `node` if it has the type and range required by `info`.
std::optional<SettingValue> ReadValue(const toml::node& node,
                                      const SettingInfo& info);

class TableReader {
 public:
  // Sets the fields of `section` in `target` from `table`. Reports missing
  // required keys, invalid values and unknown keys other than `other_keys`.
  // `path` is the path of `table` in messages.
  template <typename Target>
  void Read(const toml::table& table,
            std::string_view section,
            const std::string& path,
            const std::vector<SettingField<Target>>& fields,
            const std::vector<std::string_view>& other_keys,
            Target& target) {
    ReportUnknownKeys(table, path, [&](std::string_view key) {
      return Find(fields, section, key) != nullptr ||
             std::find(other_keys.begin(), other_keys.end(), key) !=
                 other_keys.end();
    });
    for (const auto& field : fields) {
      if (field.info.section == section) {
        ReadField(table, path, field, target);
      }
    }
  }

  // Reads a document whose top-level tables are the sections of `fields`.
  template <typename Target>
  void ReadSections(const toml::table& document,
                    const std::vector<SettingField<Target>>& fields,
                    const std::vector<std::string_view>& other_sections,
                    Target& target) {
    std::vector<std::string_view> sections;
    for (const auto& field : fields) {
      if (sections.empty() || sections.back() != field.info.section) {
        sections.push_back(field.info.section);
      }
    }
    ReportUnknownKeys(document, "", [&](std::string_view key) {
      return std::find(sections.begin(), sections.end(), key) !=
                 sections.end() ||
             std::find(other_sections.begin(), other_sections.end(), key) !=
                 other_sections.end();
    });
    for (std::string_view section : sections) {
      const toml::table* table = Subtable(document, section, "");
      Read(table != nullptr ? *table : m_empty, section, std::string(section),
           fields, {}, target);
    }
  }

  // Returns the table `key` of `parent`. Returns null if it is missing, and
  // reports a problem and returns null if it is not a table.
  const toml::table* Subtable(const toml::table& parent,
                              std::string_view key,
                              const std::string& path);
  void Report(const std::string& path,
              const toml::node* node,
              std::string allowed);
  void ReportLine(const std::string& path,
                  uint32_t line,
                  std::string value,
                  std::string allowed);

  std::vector<SettingsProblem> TakeProblems() { return std::move(m_problems); }

 private:
  template <typename Target>
  static const SettingField<Target>* Find(
      const std::vector<SettingField<Target>>& fields,
      std::string_view section,
      std::string_view key) {
    for (const auto& field : fields) {
      if (field.info.section == section && field.info.key == key) {
        return &field;
      }
    }
    return nullptr;
  }

  template <typename Target>
  void ReadField(const toml::table& table,
                 const std::string& path,
                 const SettingField<Target>& field,
                 Target& target) {
    const std::string field_path = path + "." + field.info.key;
    const toml::node* node = table.get(field.info.key);
    if (node == nullptr) {
      if (!field.info.default_value) {
        ReportLine(field_path, LineOf(table), "",
                   "a value is required: " + DescribeAllowed(field.info));
      }
      return;
    }
    if (std::optional<SettingValue> value = ReadValue(*node, field.info)) {
      field.set(target, *value);
    } else {
      Report(field_path, node, DescribeAllowed(field.info));
    }
  }

  void ReportUnknownKeys(const toml::table& table,
                         const std::string& path,
                         const std::function<bool(std::string_view)>& is_known);
  static uint32_t LineOf(const toml::node& node);

  toml::table m_empty;
  std::vector<SettingsProblem> m_problems;
};

}  // namespace wasabihook

#endif  // SRC_DECISION_SETTINGS_TABLE_READER_H_
