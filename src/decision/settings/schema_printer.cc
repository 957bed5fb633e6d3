#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <type_traits>

#include "decision/settings/settings_schema.h"

namespace wasabihook {
namespace {

std::string FormatNumber(double number) {
  char buffer[32];
  std::snprintf(buffer, sizeof(buffer), "%.16g", number);
  return buffer;
}

std::string FormatRange(const SettingRange& range) {
  return FormatNumber(range.min) + " to " + FormatNumber(range.max);
}

std::string UnitOf(const SettingInfo& info) {
  return info.kind == SettingKind::kMilliseconds ? "ms" : "";
}

template <typename Target>
std::vector<SettingInfo> Infos(
    const std::vector<SettingField<Target>>& fields) {
  std::vector<SettingInfo> infos;
  for (const auto& field : fields) {
    infos.push_back(field.info);
  }
  return infos;
}

std::vector<SettingInfo> TeamInfos() {
  std::vector<SettingInfo> infos = Infos(TeamFields());
  for (const auto& list : {Infos(IndexSetFields()), Infos(GroupFields())}) {
    infos.insert(infos.end(), list.begin(), list.end());
  }
  return infos;
}

void PrintTable(std::ostream& out, const std::vector<SettingInfo>& infos) {
  std::string section;
  for (const SettingInfo& info : infos) {
    if (info.section != section) {
      section = info.section;
      const bool list = section.ends_with("[]");
      const std::string name =
          list ? "[[" + section.substr(0, section.size() - 2) + "]]"
               : "[" + section + "]";
      out << "\n### `" << name << "`\n\n"
          << "| key | allowed | default | meaning |\n"
          << "| --- | --- | --- | --- |\n";
    }
    out << "| `" << info.key << "` | " << DescribeAllowed(info) << " | "
        << (info.default_value ? "`" + FormatValue(*info.default_value) + "`"
                               : "required")
        << " | " << info.meaning << " |\n";
  }
}

nlohmann::ordered_json AsJson(const std::vector<SettingInfo>& infos) {
  auto list = nlohmann::ordered_json::array();
  for (const SettingInfo& info : infos) {
    nlohmann::ordered_json entry = {{"section", info.section},
                                    {"key", info.key},
                                    {"allowed", DescribeAllowed(info)}};
    if (const std::string unit = UnitOf(info); !unit.empty()) {
      entry["unit"] = unit;
    }
    if (info.default_value) {
      std::visit([&](const auto& value) { entry["default"] = value; },
                 *info.default_value);
    }
    entry["required"] = !info.default_value.has_value();
    entry["meaning"] = info.meaning;
    list.push_back(std::move(entry));
  }
  return list;
}

std::string Join(const std::vector<std::string>& items,
                 const std::string& separator) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : separator) + item;
  }
  return text;
}

}  // namespace

std::string DescribeAllowed(const SettingInfo& info) {
  switch (info.kind) {
    case SettingKind::kInteger:
      return "integer from " + FormatRange(info.range);
    case SettingKind::kMilliseconds:
      return "integer from " + FormatRange(info.range) + " ms";
    case SettingKind::kFraction:
      return "number from " + FormatRange(info.range);
    case SettingKind::kBoolean:
      return "true or false";
    case SettingKind::kChoice:
      return "one of \"" + Join(info.choices, "\", \"") + "\"";
    case SettingKind::kName:
      return "name of 1 to 64 letters, digits, '-', '_' or '.'";
    case SettingKind::kNameList:
      return "list of " + FormatRange(info.range) + " distinct names";
    case SettingKind::kServerList:
      return "list of " + FormatRange(info.range) +
             " distinct \"ip:port@data-centre\"";
  }
  return "";
}

std::string FormatValue(const SettingValue& value) {
  return std::visit(
      [](const auto& v) -> std::string {
        using Type = std::decay_t<decltype(v)>;
        if constexpr (std::is_same_v<Type, int64_t>) {
          return std::to_string(v);
        } else if constexpr (std::is_same_v<Type, double>) {
          return FormatNumber(v);
        } else if constexpr (std::is_same_v<Type, bool>) {
          return v ? "true" : "false";
        } else if constexpr (std::is_same_v<Type, std::string>) {
          return "\"" + v + "\"";
        } else {
          return v.empty() ? "[]" : "[\"" + Join(v, "\", \"") + "\"]";
        }
      },
      value);
}

std::string SchemaAsMarkdown() {
  std::ostringstream out;
  out << "## Team subtree (`settings/teams/<team>`)\n";
  PrintTable(out, TeamInfos());
  out << "\n## Fleet subtree (`settings/fleet`)\n";
  PrintTable(out, Infos(FleetFields()));
  return out.str();
}

std::string SchemaAsJson() {
  nlohmann::ordered_json document = {{"team", AsJson(TeamInfos())},
                                     {"fleet", AsJson(Infos(FleetFields()))}};
  return document.dump(2);
}

}  // namespace wasabihook
