#include "decision/settings/table_reader.h"

#include <cmath>
#include <set>
#include <sstream>

#include "decision/settings/server_address.h"

namespace wasabihook {
namespace {

// Characters; longer values are truncated in messages.
constexpr size_t kMaxDisplayedValueLength = 60;

std::optional<SettingValue> ReadInteger(const toml::node& node,
                                        const SettingInfo& info) {
  const auto* integer = node.as_integer();
  if (integer == nullptr) {
    return std::nullopt;
  }
  const auto number = static_cast<double>(integer->get());
  if (number < info.range.min || number > info.range.max) {
    return std::nullopt;
  }
  return integer->get();
}

std::optional<SettingValue> ReadFraction(const toml::node& node,
                                         const SettingInfo& info) {
  // Accepts 0 and 1 written as integers.
  const std::optional<double> number = node.value<double>();
  if (!number || !std::isfinite(*number) || *number < info.range.min ||
      *number > info.range.max) {
    return std::nullopt;
  }
  return *number;
}

std::optional<SettingValue> ReadList(const toml::node& node,
                                     const SettingInfo& info) {
  const auto* array = node.as_array();
  if (array == nullptr || static_cast<double>(array->size()) < info.range.min ||
      static_cast<double>(array->size()) > info.range.max) {
    return std::nullopt;
  }
  std::vector<std::string> items;
  std::set<std::string> distinct;
  for (const toml::node& item : *array) {
    const auto* text = item.as_string();
    if (text == nullptr) {
      return std::nullopt;
    }
    const bool valid = info.kind == SettingKind::kServerList
                           ? ParseServerAddress(text->get()).has_value()
                           : IsName(text->get());
    // Distinct by address: a server listed in two data centres is a duplicate.
    const std::string identity = text->get().substr(0, text->get().find('@'));
    if (!valid || !distinct.insert(identity).second) {
      return std::nullopt;
    }
    items.push_back(text->get());
  }
  return items;
}

}  // namespace

std::string FormatNode(const toml::node& node) {
  if (node.is_table()) {
    return "{...}";
  }
  std::ostringstream out;
  node.visit([&](const auto& typed) { out << typed; });
  std::string text = out.str();
  std::replace(text.begin(), text.end(), '\n', ' ');
  if (text.size() > kMaxDisplayedValueLength) {
    text = text.substr(0, kMaxDisplayedValueLength) + "...";
  }
  return text;
}

std::optional<SettingValue> ReadValue(const toml::node& node,
                                      const SettingInfo& info) {
  switch (info.kind) {
    case SettingKind::kInteger:
    case SettingKind::kMilliseconds:
      return ReadInteger(node, info);
    case SettingKind::kFraction:
      return ReadFraction(node, info);
    case SettingKind::kBoolean:
      return node.is_boolean()
                 ? std::optional<SettingValue>(node.as_boolean()->get())
                 : std::nullopt;
    case SettingKind::kChoice: {
      const auto* text = node.as_string();
      const bool valid =
          text != nullptr && std::find(info.choices.begin(), info.choices.end(),
                                       text->get()) != info.choices.end();
      return valid ? std::optional<SettingValue>(text->get()) : std::nullopt;
    }
    case SettingKind::kName: {
      const auto* text = node.as_string();
      return text != nullptr && IsName(text->get())
                 ? std::optional<SettingValue>(text->get())
                 : std::nullopt;
    }
    case SettingKind::kNameList:
    case SettingKind::kServerList:
      return ReadList(node, info);
  }
  return std::nullopt;
}

const toml::table* TableReader::Subtable(const toml::table& parent,
                                         std::string_view key,
                                         const std::string& path) {
  const toml::node* node = parent.get(key);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    Report(path.empty() ? std::string(key) : path + "." + std::string(key),
           node, "a table");
  }
  return node->as_table();
}

void TableReader::Report(const std::string& path,
                         const toml::node* node,
                         std::string allowed) {
  ReportLine(path, node != nullptr ? LineOf(*node) : 0,
             node != nullptr ? FormatNode(*node) : "", std::move(allowed));
}

void TableReader::ReportLine(const std::string& path,
                             uint32_t line,
                             std::string value,
                             std::string allowed) {
  m_problems.push_back({path, line, std::move(value), std::move(allowed)});
}

void TableReader::ReportUnknownKeys(
    const toml::table& table,
    const std::string& path,
    const std::function<bool(std::string_view)>& is_known) {
  for (const auto& [key, node] : table) {
    if (!is_known(key.str())) {
      const std::string name(key.str());
      Report(path.empty() ? name : path + "." + name, &node,
             "no such key; see docs/settings.md");
    }
  }
}

uint32_t TableReader::LineOf(const toml::node& node) {
  return node.source().begin.line;
}

}  // namespace wasabihook
