#include "decision/settings/settings_text.h"

#include <toml++/toml.h>
#include <map>
#include <set>
#include <sstream>

#include "decision/settings/settings_parser.h"

namespace wasabihook {
namespace {

// Path of keys. The parts stay separate because a key may contain dots.
using Path = std::vector<std::string>;
using Leaves = std::map<Path, const toml::node*>;

constexpr std::string_view kChangeTable = "change";

toml::table Parse(std::string_view text) {
  try {
    return toml::parse(text, std::string_view("settings"));
  } catch (const toml::parse_error& error) {
    throw InvalidSettings({{"", error.source().begin.line,
                            std::string(error.description()), "TOML 1.0"}});
  }
}

void Collect(const toml::table& table, Path& path, Leaves& leaves) {
  for (const auto& [key, node] : table) {
    path.emplace_back(key.str());
    if (path.size() == 1 && path[0] == kChangeTable) {
      path.pop_back();
      continue;
    }
    if (const toml::table* child = node.as_table()) {
      Collect(*child, path, leaves);
    } else {
      leaves[path] = &node;
    }
    path.pop_back();
  }
}

Leaves LeavesOf(const toml::table& table) {
  Leaves leaves;
  Path path;
  Collect(table, path, leaves);
  return leaves;
}

std::string Join(const Path& path) {
  std::string text;
  for (const std::string& part : path) {
    text += (text.empty() ? "" : ".") + part;
  }
  return text;
}

std::optional<std::string> ValueAt(const Leaves& leaves, const Path& path) {
  const auto it = leaves.find(path);
  if (it == leaves.end()) {
    return std::nullopt;
  }
  // Tables within a list are printed inline, on one line.
  std::ostringstream out;
  it->second->visit([&](const auto& node) {
    if constexpr (toml::is_array<decltype(node)>) {
      toml::array copy = node;
      for (toml::node& item : copy) {
        if (toml::table* table = item.as_table()) {
          table->is_inline(true);
        }
      }
      out << copy;
    } else {
      out << node;
    }
  });
  return out.str();
}

// Removes the key at `path`, starting at part `depth`, and the tables that
// become empty: an empty table would be an entry without its required keys.
void Remove(toml::table& table, const Path& path, size_t depth = 0) {
  toml::node* node = table.get(path[depth]);
  toml::table* child = node != nullptr ? node->as_table() : nullptr;
  if (child != nullptr && depth + 1 < path.size()) {
    Remove(*child, path, depth + 1);
  }
  if (depth + 1 == path.size() || (child != nullptr && child->empty())) {
    table.erase(path[depth]);
  }
}

void Assign(toml::table& table, const Path& path, const toml::node& value) {
  toml::table* parent = &table;
  for (size_t i = 0; i + 1 < path.size(); ++i) {
    auto [it, added] = parent->emplace<toml::table>(path[i]);
    if (it->second.as_table() == nullptr) {
      return;  // A parent key of `theirs` is not a table, so it is invalid.
    }
    parent = it->second.as_table();
  }
  value.visit(
      [&](const auto& node) { parent->insert_or_assign(path.back(), node); });
}

std::string Write(const toml::table& table) {
  std::ostringstream out;
  out << table << '\n';
  return out.str();
}

// Removes the lines of the `[change]` table; comments elsewhere are preserved.
std::string WithoutChangeLines(std::string_view text) {
  std::istringstream lines{std::string(text)};
  std::string result;
  std::string line;
  bool in_change_table = false;
  while (std::getline(lines, line)) {
    const size_t start = line.find_first_not_of(" \t");
    if (start != std::string::npos && line[start] == '[') {
      in_change_table = line.substr(start).starts_with("[change]");
    }
    if (!in_change_table) {
      result += line + '\n';
    }
  }
  return result;
}

bool IsToml(const std::string& text) {
  try {
    Parse(text);
    return true;
  } catch (const InvalidSettings&) {
    return false;
  }
}

std::set<Path> PathsOf(const Leaves& a, const Leaves& b) {
  std::set<Path> paths;
  for (const Leaves* leaves : {&a, &b}) {
    for (const auto& [path, node] : *leaves) {
      paths.insert(path);
    }
  }
  return paths;
}

}  // namespace

std::vector<SettingsDifference> DiffSettings(std::string_view before,
                                             std::string_view after) {
  const toml::table old_table = Parse(before);
  const toml::table new_table = Parse(after);
  const Leaves old_leaves = LeavesOf(old_table);
  const Leaves new_leaves = LeavesOf(new_table);
  std::vector<SettingsDifference> differences;
  for (const Path& path : PathsOf(old_leaves, new_leaves)) {
    auto old_value = ValueAt(old_leaves, path);
    auto new_value = ValueAt(new_leaves, path);
    if (old_value != new_value) {
      differences.push_back(
          {Join(path), std::move(old_value), std::move(new_value)});
    }
  }
  return differences;
}

SettingsMerge MergeSettings(std::string_view base,
                            std::string_view ours,
                            std::string_view theirs) {
  const toml::table base_table = Parse(base);
  const toml::table our_table = Parse(ours);
  toml::table merged = Parse(theirs);
  const toml::table their_table = merged;
  const Leaves base_leaves = LeavesOf(base_table);
  const Leaves our_leaves = LeavesOf(our_table);
  const Leaves their_leaves = LeavesOf(their_table);
  SettingsMerge result;
  for (const Path& path : PathsOf(base_leaves, our_leaves)) {
    const auto base_value = ValueAt(base_leaves, path);
    const auto our_value = ValueAt(our_leaves, path);
    const auto their_value = ValueAt(their_leaves, path);
    if (our_value == base_value || our_value == their_value) {
      continue;
    }
    if (their_value != base_value) {
      result.conflicts.push_back(
          {Join(path), base_value, our_value, their_value});
    } else {
      if (const auto it = our_leaves.find(path); it != our_leaves.end()) {
        Assign(merged, path, *it->second);
      } else {
        Remove(merged, path);
      }
    }
  }
  result.text = Write(merged);
  return result;
}

std::string WithChangeIds(std::string_view text,
                          const std::vector<std::string>& ids) {
  std::string result = WithoutChangeLines(text) + "[change]\nids = [";
  for (size_t i = 0; i < ids.size(); ++i) {
    result += (i == 0 ? "\"" : ", \"") + ids[i] + '"';
  }
  result += "]\n";
  // Removing lines fails if `[change]` is written in an unusual form, such as
  // an inline table. Printing the parsed document then loses only the comments.
  if (IsToml(result) && DiffSettings(text, result).empty() &&
      ReadChangeIds(result) == ids) {
    return result;
  }
  toml::table table = Parse(text);
  toml::array list;
  for (const std::string& id : ids) {
    list.push_back(id);
  }
  table.insert_or_assign(kChangeTable, toml::table{{"ids", std::move(list)}});
  return Write(table);
}

std::string InferSubtree(std::string_view text) {
  try {
    const toml::table table = Parse(text);
    if (const auto* name = table["team"]["name"].as_string()) {
      return std::string(kTeamSubtreePrefix) + name->get();
    }
  } catch (const InvalidSettings&) {
    // CheckSettings() reports the errors of the text.
  }
  return std::string(kFleetSubtree);
}

}  // namespace wasabihook
