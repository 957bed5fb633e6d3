#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "decision/settings/settings_schema.h"
#include "decision/settings/settings_text.h"
#include "wasabihookctl/blocking_store_client.h"
#include "wasabihookctl/command.h"

namespace wasabihook::ctl {
namespace {

using nlohmann::ordered_json;
using std::chrono::seconds;

constexpr Duration kPutTimeout = seconds(20);
constexpr Duration kWatchTimeout = seconds(30);

struct StoreArguments {
  explicit StoreArguments(TCLAP::CmdLine& command_line)
      : platform("",
                 "platform",
                 "Address of the platform",
                 true,
                 "",
                 "IP:PORT",
                 command_line),
        as_json("", "json", "Print JSON", command_line) {}

  TCLAP::ValueArg<std::string> platform;
  TCLAP::SwitchArg as_json;
};

TCLAP::ValueArg<std::string> SubtreeArgument(TCLAP::CmdLine& command_line) {
  return {"",
          "subtree",
          "teams/<team> or fleet; by default the team named in the file",
          false,
          "",
          "NAME",
          command_line};
}

std::string ResolveSubtree(const std::string& given, const std::string& text) {
  return given.empty() ? InferSubtree(text) : given;
}

ordered_json ToJson(const std::vector<SettingsProblem>& problems) {
  auto list = ordered_json::array();
  for (const auto& [path, line, value, allowed] : problems) {
    list.push_back({{"path", path},
                    {"line", line},
                    {"value", value},
                    {"allowed", allowed}});
  }
  return list;
}

ordered_json OptionalToJson(const std::optional<std::string>& value) {
  return value ? ordered_json(*value) : ordered_json(nullptr);
}

std::string ValueOrAbsent(const std::optional<std::string>& value) {
  return value.value_or("(absent)");
}

void PrintProblems(const std::vector<SettingsProblem>& problems) {
  for (const SettingsProblem& problem : problems) {
    std::cerr << ToString(problem) << "\n";
  }
}

std::string NewChangeId() {
  std::random_device device;
  char text[32];
  std::snprintf(text, sizeof(text), "ctl-%08x%08x", device(), device());
  return text;
}

std::string ToString(SettingsWriteStatus status) {
  switch (status) {
    case SettingsWriteStatus::kWritten:
      return "written";
    case SettingsWriteStatus::kInvalid:
      return "invalid";
    case SettingsWriteStatus::kConflict:
      return "conflict";
    case SettingsWriteStatus::kUnavailable:
      return "unavailable";
    case SettingsWriteStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int ExitStatus(SettingsWriteStatus status) {
  switch (status) {
    case SettingsWriteStatus::kWritten:
      return kExitOk;
    case SettingsWriteStatus::kInvalid:
      return kExitInvalid;
    case SettingsWriteStatus::kConflict:
      return kExitConflict;
    case SettingsWriteStatus::kUnavailable:
      return kExitUnavailable;
    case SettingsWriteStatus::kUnknown:
      return kExitUnknown;
  }
  return kExitUnknown;
}

ordered_json ToJson(const SettingsWrite& write,
                    const SettingsWriteResult& result) {
  auto conflicts = ordered_json::array();
  for (const auto& [path, base, ours, theirs] : result.conflicts) {
    conflicts.push_back({{"path", path},
                         {"base", OptionalToJson(base)},
                         {"ours", OptionalToJson(ours)},
                         {"theirs", OptionalToJson(theirs)}});
  }
  ordered_json json = {{"status", ToString(result.status)},
                       {"subtree", write.subtree},
                       {"change_id", write.change_id},
                       {"revision", result.revision.value()},
                       {"found_applied", result.found_applied},
                       {"merged", result.merged},
                       {"problems", ToJson(result.problems)},
                       {"conflicts", conflicts}};
  if (result.current) {
    json["current_revision"] = result.current->revision.value();
  }
  return json;
}

// Prints the changes of both sides relative to the common base.
void PrintConflict(const SettingsWrite& write,
                   const SettingsWriteResult& result) {
  const uint64_t revision =
      result.current ? result.current->revision.value() : 0;
  std::cerr << "conflict: " << write.subtree << " is at revision " << revision
            << ", not " << write.base_revision.value() << "\n";
  const auto print = [&](const char* side, const std::string& text) {
    try {
      for (const auto& [path, before, after] :
           DiffSettings(write.base_text, text)) {
        std::cerr << "  " << side << " " << path << ": "
                  << ValueOrAbsent(before) << " -> " << ValueOrAbsent(after)
                  << "\n";
      }
    } catch (const InvalidSettings& error) {
      std::cerr << "  " << side << " " << error.what() << "\n";
    }
  };
  print("ours:  ", write.text);
  print("theirs:", result.current ? result.current->value : "");
  for (const SettingsConflict& conflict : result.conflicts) {
    std::cerr << "  both change " << conflict.path << "\n";
  }
}

void PrintWriteResult(const SettingsWrite& write,
                      const SettingsWriteResult& result) {
  switch (result.status) {
    case SettingsWriteStatus::kWritten:
      std::cout << write.subtree << " revision " << result.revision.value()
                << " change " << write.change_id
                << (result.merged ? " (merged)" : "") << "\n";
      return;
    case SettingsWriteStatus::kInvalid:
      PrintProblems(result.problems);
      return;
    case SettingsWriteStatus::kConflict:
      PrintConflict(write, result);
      return;
    case SettingsWriteStatus::kUnavailable:
      std::cerr << "the store is unavailable; nothing was written\n";
      return;
    case SettingsWriteStatus::kUnknown:
      std::cerr << "unknown outcome; run again with --change-id "
                << write.change_id << "\n";
      return;
  }
}

}  // namespace

int SettingsCheck(Arguments arguments) {
  TCLAP::CmdLine command_line("Checks a settings file and lists all problems",
                              ' ', WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file, or -", true,
                                             "", "FILE", command_line);
  auto subtree = SubtreeArgument(command_line);
  TCLAP::SwitchArg as_json("", "json", "Print JSON", command_line);
  command_line.parse(arguments);
  const std::string text = ReadFileOrStdin(file.getValue());
  const std::string name = ResolveSubtree(subtree.getValue(), text);
  const auto problems = CheckSettings(name, text);
  if (as_json.getValue()) {
    const ordered_json json = {{"subtree", name},
                               {"valid", problems.empty()},
                               {"problems", ToJson(problems)}};
    std::cout << json.dump(2) << "\n";
  } else if (problems.empty()) {
    std::cout << name << ": valid\n";
  } else {
    PrintProblems(problems);
  }
  return problems.empty() ? kExitOk : kExitInvalid;
}

int SettingsSchema(Arguments arguments) {
  TCLAP::CmdLine command_line("Prints every key of the settings", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  TCLAP::SwitchArg markdown("", "markdown", "Print Markdown (the default)",
                            command_line);
  TCLAP::SwitchArg as_json("", "json", "Print JSON", command_line);
  command_line.parse(arguments);
  std::cout << (as_json.getValue() ? SchemaAsJson() + "\n"
                                   : SchemaAsMarkdown());
  return kExitOk;
}

int SettingsGet(Arguments arguments) {
  TCLAP::CmdLine command_line("Prints a subtree as TOML", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  StoreArguments common(command_line);
  TCLAP::UnlabeledValueArg<std::string> subtree(
      "subtree", "teams/<team> or fleet", true, "", "SUBTREE", command_line);
  command_line.parse(arguments);
  const KeyValue entry =
      BlockingStoreClient(common.platform.getValue()).Get(subtree.getValue());
  if (common.as_json.getValue()) {
    const ordered_json json = {{"subtree", subtree.getValue()},
                               {"revision", entry.revision.value()},
                               {"text", entry.value}};
    std::cout << json.dump(2) << "\n";
  } else {
    std::cerr << "revision " << entry.revision.value() << "\n";
    std::cout << entry.value;
  }
  return entry.revision == Revision(0) ? kExitInvalid : kExitOk;
}

int SettingsPut(Arguments arguments) {
  TCLAP::CmdLine command_line("Writes a subtree by compare-and-swap", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  StoreArguments common(command_line);
  TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file, or -", true,
                                             "", "FILE", command_line);
  auto subtree = SubtreeArgument(command_line);
  TCLAP::ValueArg<std::string> base("", "base",
                                    "File that the new file was edited from",
                                    false, "", "FILE", command_line);
  TCLAP::ValueArg<uint64_t> revision(
      "", "base-revision",
      "Revision that the file was edited from; by default the current one",
      false, 0, "REVISION", command_line);
  TCLAP::ValueArg<std::string> change_id(
      "", "change-id", "Id of this change; repeat it after an unknown outcome",
      false, "", "ID", command_line);
  TCLAP::SwitchArg merge("", "merge",
                         "Merge with a concurrent change to other keys",
                         command_line);
  command_line.parse(arguments);
  SettingsWrite write;
  write.text = ReadFileOrStdin(file.getValue());
  write.subtree = ResolveSubtree(subtree.getValue(), write.text);
  write.change_id = change_id.isSet() ? change_id.getValue() : NewChangeId();
  write.merge = merge.getValue();
  if (revision.isSet() != base.isSet()) {
    throw std::invalid_argument(
        "--base and --base-revision must be given together");
  }
  BlockingStoreClient client(common.platform.getValue());
  if (revision.isSet()) {
    write.base_revision = Revision(revision.getValue());
    write.base_text = ReadFileOrStdin(base.getValue());
  } else {
    const KeyValue current = client.Get(write.subtree);
    write.base_revision = current.revision;
    write.base_text = current.value;
  }
  const SettingsWriteResult result = client.Put(write, kPutTimeout);
  if (common.as_json.getValue()) {
    std::cout << ToJson(write, result).dump(2) << "\n";
  } else {
    PrintWriteResult(write, result);
  }
  return ExitStatus(result.status);
}

int SettingsDiff(Arguments arguments) {
  TCLAP::CmdLine command_line("Compares the stored value with a file", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  StoreArguments common(command_line);
  TCLAP::UnlabeledValueArg<std::string> file("file", "TOML file, or -", true,
                                             "", "FILE", command_line);
  auto subtree = SubtreeArgument(command_line);
  command_line.parse(arguments);
  const std::string text = ReadFileOrStdin(file.getValue());
  const std::string name = ResolveSubtree(subtree.getValue(), text);
  const KeyValue stored =
      BlockingStoreClient(common.platform.getValue()).Get(name);
  auto list = ordered_json::array();
  for (const auto& [path, before, after] : DiffSettings(stored.value, text)) {
    list.push_back({{"path", path},
                    {"stored", OptionalToJson(before)},
                    {"file", OptionalToJson(after)}});
    if (!common.as_json.getValue()) {
      std::cout << path << ": " << ValueOrAbsent(before) << " -> "
                << ValueOrAbsent(after) << "\n";
    }
  }
  if (common.as_json.getValue()) {
    const ordered_json json = {{"subtree", name},
                               {"revision", stored.revision.value()},
                               {"differences", list}};
    std::cout << json.dump(2) << "\n";
  }
  return kExitOk;
}

int SettingsWatch(Arguments arguments) {
  TCLAP::CmdLine command_line("Prints changes until it is interrupted", ' ',
                              WASABIHOOK_VERSION);
  command_line.setExceptionHandling(false);
  StoreArguments common(command_line);
  TCLAP::ValueArg<uint32_t> count("", "count", "Exit after this many changes",
                                  false, 0, "COUNT", command_line);
  command_line.parse(arguments);
  BlockingStoreClient client(common.platform.getValue());
  ListResult list = client.List(std::nullopt, Duration(0));
  Revision last_revision = list.store_revision;
  uint32_t printed = 0;
  while (true) {
    list = client.List(last_revision, kWatchTimeout);
    for (const KeyValue& entry : list.entries) {
      if (entry.revision <= last_revision) {
        continue;
      }
      const std::string name = entry.key.substr(kSettingsKeyPrefix.size());
      const bool valid = CheckSettings(name, entry.value).empty();
      const ordered_json json = {{"subtree", name},
                                 {"revision", entry.revision.value()},
                                 {"valid", valid},
                                 {"change_ids", ReadChangeIds(entry.value)}};
      if (common.as_json.getValue()) {
        std::cout << json.dump() << std::endl;
      } else {
        std::cout << name << " revision " << entry.revision.value()
                  << (valid ? "" : " (invalid)") << std::endl;
      }
      if (++printed == count.getValue()) {
        return kExitOk;
      }
    }
    last_revision = std::max(last_revision, list.store_revision);
  }
}

}  // namespace wasabihook::ctl
