#include "decision/settings/settings_parser.h"

#include <map>
#include <memory>
#include <set>

#include "decision/settings/server_address.h"
#include "decision/settings/table_reader.h"

namespace wasabihook {
namespace {

std::string Summarize(const std::vector<SettingsProblem>& problems) {
  std::string text;
  for (const SettingsProblem& problem : problems) {
    text += (text.empty() ? "" : "\n") + ToString(problem);
  }
  return text;
}

// Throws InvalidSettings with one problem if the text is too long or not valid
// TOML.
toml::table ParseToml(std::string_view text) {
  if (text.size() > config::kMaxSettingsBytes) {
    throw InvalidSettings(
        {{"", 0, std::to_string(text.size()) + " bytes",
          "at most " + std::to_string(config::kMaxSettingsBytes) + " bytes"}});
  }
  try {
    return toml::parse(text, std::string_view("settings"));
  } catch (const toml::parse_error& error) {
    const auto& begin = error.source().begin;
    throw InvalidSettings({{"", begin.line,
                            "column " + std::to_string(begin.column) + ": " +
                                std::string(error.description()),
                            "TOML 1.0"}});
  }
}

// Reads the shard groups of one index set and checks that their ids are unique.
class GroupReader {
 public:
  GroupReader(TableReader* reader, std::string path)
      : m_reader(reader), m_path(std::move(path)) {}

  std::vector<ShardGroup> Read(const toml::node* node) {
    const toml::array* list = node != nullptr ? node->as_array() : nullptr;
    if (list == nullptr || list->empty()) {
      m_reader->Report(m_path, node, "at least one table of a shard group");
      return {};
    }
    std::vector<ShardGroup> groups;
    for (const toml::node& item : *list) {
      const std::string path =
          m_path + "[" + std::to_string(groups.size()) + "]";
      groups.push_back(ReadGroup(item, path));
    }
    return groups;
  }

 private:
  ShardGroup ReadGroup(const toml::node& node, const std::string& path) {
    ShardGroup group;
    if (!node.is_table()) {
      m_reader->Report(path, &node, "a table of a shard group");
      return group;
    }
    const toml::table& table = *node.as_table();
    m_reader->Read(table, kGroupSection, path, GroupFields(), {}, group);
    if (!group.id.value().empty() && !m_ids.insert(group.id).second) {
      m_reader->Report(path + ".id", table.get("id"),
                       "a name that no other group of the index set has");
    }
    return group;
  }

  TableReader* m_reader;
  std::string m_path;
  std::set<ShardGroupId> m_ids;
};

void ReadIndexSet(TableReader& reader,
                  const std::string& name,
                  const toml::table& table,
                  TeamSettings& settings) {
  const std::string path = "index_sets." + name;
  auto snapshot = std::make_shared<IndexSetSnapshot>();
  snapshot->team = settings.team;
  snapshot->index_set = IndexSetId(name);
  snapshot->settings_revision = settings.revision;
  reader.Read(table, kIndexSetSection, path, IndexSetFields(), {"groups"},
              *snapshot);
  snapshot->groups =
      GroupReader(&reader, path + ".groups").Read(table.get("groups"));
  settings.index_sets[snapshot->index_set] = std::move(snapshot);
}

void ReadIndexSets(TableReader& reader,
                   const toml::table& document,
                   TeamSettings& settings) {
  const toml::table* sets = reader.Subtable(document, "index_sets", "");
  if (sets == nullptr) {
    return;
  }
  for (const auto& [key, node] : *sets) {
    const std::string name(key.str());
    if (!IsName(name)) {
      reader.Report("index_sets." + name, &node,
                    "a name of 1 to 64 letters, digits, '-', '_' or '.'");
    } else if (const toml::table* table =
                   reader.Subtable(*sets, name, "index_sets")) {
      ReadIndexSet(reader, name, *table, settings);
    }
  }
}

void CheckDeadlines(TableReader& reader,
                    const toml::table& document,
                    const TeamSettings& settings) {
  const auto check = [&](const char* key, Duration value) {
    if (value > settings.max_deadline) {
      const toml::node* node = document["deadlines"][key].node();
      reader.Report(std::string("deadlines.") + key, node,
                    "at most deadlines.max_deadline_ms");
    }
  };
  check("default_deadline_ms", settings.default_deadline);
  check("soft_deadline_ms", settings.soft_deadline);
}

}  // namespace

std::string ToString(const SettingsProblem& problem) {
  std::string text;
  if (problem.line > 0) {
    text += "line " + std::to_string(problem.line) + ": ";
  }
  text += problem.path.empty() ? "document" : problem.path;
  if (!problem.value.empty()) {
    text += (problem.path.empty() ? ": " : " = ") + problem.value;
  }
  return text + "; allowed: " + problem.allowed;
}

InvalidSettings::InvalidSettings(std::vector<SettingsProblem> problems)
    : std::runtime_error(Summarize(problems)),
      m_problems(std::move(problems)) {}

bool IsSubtreeName(std::string_view subtree) {
  return subtree == kFleetSubtree ||
         (subtree.starts_with(kTeamSubtreePrefix) &&
          IsName(subtree.substr(kTeamSubtreePrefix.size())));
}

TeamDocument ParseTeamSettings(const TeamId& team,
                               Revision revision,
                               std::string_view text) {
  const toml::table document = ParseToml(text);
  TeamDocument result;
  result.settings.revision = revision;
  TableReader reader;
  reader.ReadSections(document, TeamFields(), {"index_sets"}, result);
  if (!result.settings.team.value().empty() && result.settings.team != team) {
    reader.Report("team.name", document["team"]["name"].node(),
                  "\"" + team.value() + "\", the name of the subtree");
  }
  result.settings.team = team;
  CheckDeadlines(reader, document, result.settings);
  ReadIndexSets(reader, document, result.settings);
  if (auto problems = reader.TakeProblems(); !problems.empty()) {
    throw InvalidSettings(std::move(problems));
  }
  return result;
}

FleetDocument ParseFleetSettings(Revision revision, std::string_view text) {
  const toml::table document = ParseToml(text);
  FleetDocument result;
  result.settings.revision = revision;
  TableReader reader;
  reader.ReadSections(document, FleetFields(), {}, result);
  if (auto problems = reader.TakeProblems(); !problems.empty()) {
    throw InvalidSettings(std::move(problems));
  }
  return result;
}

std::vector<SettingsProblem> CheckSettings(std::string_view subtree,
                                           std::string_view text) {
  if (!IsSubtreeName(subtree)) {
    return {{"", 0, std::string(subtree),
             "the subtree \"fleet\" or \"teams/<name>\""}};
  }
  try {
    if (subtree == kFleetSubtree) {
      ParseFleetSettings(Revision(0), text);
    } else {
      subtree.remove_prefix(kTeamSubtreePrefix.size());
      ParseTeamSettings(TeamId(std::string(subtree)), Revision(0), text);
    }
  } catch (const InvalidSettings& error) {
    return error.problems();
  }
  return {};
}

std::vector<std::string> ReadChangeIds(std::string_view text) {
  std::vector<std::string> ids;
  try {
    const toml::table document = ParseToml(text);
    if (const toml::array* list = document["change"]["ids"].as_array()) {
      for (const toml::node& item : *list) {
        if (const auto* id = item.as_string()) {
          ids.push_back(id->get());
        }
      }
    }
  } catch (const InvalidSettings&) {
    ids.clear();
  }
  return ids;
}

}  // namespace wasabihook
