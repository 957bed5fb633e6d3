#include "runtime/start_config.h"

#include <toml++/toml.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "runtime/socket_address.h"

namespace wasabihook {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kMaxThreads = 64;
constexpr int64_t kMaxBodySizeBytes = 67'108'864;
constexpr int64_t kMaxHeaderSizeBytes = 1'048'576;
constexpr int64_t kMaxConnectionCount = 65'536;
constexpr int64_t kMaxDurationMs = 3'600'000;

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += (text.empty() ? "" : "\n") + line;
  return text;
}

// Reads values by "section.key" and collects all problems. Every key that is
// read counts as known.
class ConfigReader {
 public:
  ConfigReader(const toml::table& root, std::string source)
      : m_root(root), m_source(std::move(source)) {}

  // String that `check` accepts. The key is required unless there is a
  // fallback.
  std::string String(const std::string& key,
                     const std::string& allowed,
                     const std::function<bool(const std::string&)>& check,
                     std::optional<std::string> fallback = std::nullopt) {
    const toml::node* node = FindKey(key);
    if (node == nullptr && fallback)
      return *fallback;
    if (node == nullptr) {
      AddProblem(nullptr, key, "is missing; allowed: " + allowed);
      return "";
    }
    return StringOf(*node, key, allowed, check);
  }

  std::string StringOf(const toml::node& node,
                       const std::string& key,
                       const std::string& allowed,
                       const std::function<bool(const std::string&)>& check) {
    const auto value = node.value_exact<std::string>();
    if (value && check(*value))
      return *value;
    AddProblem(&node, key,
               (value ? "value \"" + *value + "\" is not allowed"
                      : std::string("is not a string")) +
                   "; allowed: " + allowed);
    return "";
  }

  int64_t Integer(const std::string& key,
                  int64_t fallback,
                  int64_t min,
                  int64_t max) {
    const toml::node* node = FindKey(key);
    if (node == nullptr)
      return fallback;
    const auto value = node->value_exact<int64_t>();
    if (value && *value >= min && *value <= max)
      return *value;
    AddProblem(node, key,
               (value ? "value " + std::to_string(*value) + " is out of range"
                      : std::string("is not a whole number")) +
                   "; allowed: whole number from " + std::to_string(min) +
                   " to " + std::to_string(max));
    return fallback;
  }

  std::vector<std::string> Addresses(const std::string& key) {
    const toml::node* node = FindKey(key);
    std::vector<std::string> out;
    if (node == nullptr)
      return out;
    if (const toml::array* list = node->as_array()) {
      for (const toml::node& entry : *list)
        out.push_back(
            StringOf(entry, key, "list of \"ip:port\"", &IsValidAddress));
    } else {
      AddProblem(node, key, "is not a list; allowed: list of \"ip:port\"");
    }
    return out;
  }

  // Adds a problem for every key in the file that is not known.
  void ReportUnknownKeys() {
    for (const auto& [section, node] : m_root) {
      const std::string name(section.str());
      const toml::table* table = node.as_table();
      const bool known = m_known_keys.contains(name);
      if (!known || table == nullptr) {
        AddProblem(&node, name,
                   known ? "is not a table"
                         : "is unknown; allowed: " + KnownSections());
        continue;
      }
      for (const auto& [key, value] : *table) {
        if (const std::string id(key.str()); !m_known_keys[name].contains(id))
          AddProblem(&value, name + "." + id,
                     "is unknown; allowed: " + KnownKeys(name));
      }
    }
  }

  const std::vector<std::string>& problems() const { return m_problems; }

 private:
  const toml::node* FindKey(const std::string& key) {
    const size_t dot = key.find('.');
    const std::string section = key.substr(0, dot);
    const std::string name = key.substr(dot + 1);
    m_known_keys[section].insert(name);
    const toml::table* table = m_root[section].as_table();
    return table == nullptr ? nullptr : table->get(name);
  }

  void AddProblem(const toml::node* node,
                  const std::string& key,
                  const std::string& problem) {
    std::string location = m_source;
    if (node != nullptr)
      location += ":" + std::to_string(node->source().begin.line);
    m_problems.push_back(location + ": " + key + ": " + problem);
  }

  std::string KnownSections() const {
    std::string text;
    for (const auto& [section, keys] : m_known_keys)
      text += (text.empty() ? "" : ", ") + section;
    return text;
  }
  std::string KnownKeys(const std::string& section) const {
    std::string text;
    for (const std::string& key : m_known_keys.at(section))
      text += (text.empty() ? "" : ", ") + key;
    return text;
  }

  const toml::table& m_root;
  std::string m_source;
  std::map<std::string, std::set<std::string>> m_known_keys;
  std::vector<std::string> m_problems;
};

bool IsValidName(const std::string& text) {
  constexpr size_t kMaxNameSize = 128;
  return !text.empty() && text.size() <= kMaxNameSize &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyz"
             "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
             "0123456789-_.") == std::string::npos;
}

bool IsLogLevel(const std::string& text) {
  return text == "debug" || text == "info" || text == "warning" ||
         text == "error";
}

void ReadIdentityAndAddresses(ConfigReader& reader, StartConfig& out) {
  const std::string name_rule = "1 to 128 letters, digits, '-', '_' or '.'";
  const std::string address_rule = "\"ip:port\"";
  out.instance =
      InstanceId(reader.String("instance.id", name_rule, &IsValidName));
  out.data_centre = DataCentreId(
      reader.String("instance.data_centre", name_rule, &IsValidName));
  for (const auto& [key, into] :
       {std::pair{"listen.caller", &out.caller_address},
        {"listen.peer", &out.peer_address},
        {"listen.admin", &out.admin_address},
        {"platform.address", &out.platform_address}})
    *into = reader.String(key, address_rule, &IsValidAddress);
  out.seeds = reader.Addresses("peers.seeds");
}

uint32_t ReadThreadCount(ConfigReader& reader,
                         const std::string& key,
                         uint32_t fallback) {
  return static_cast<uint32_t>(reader.Integer(key, fallback, 1, kMaxThreads));
}

Duration ReadMilliseconds(ConfigReader& reader,
                          const std::string& key,
                          Duration fallback,
                          int64_t min) {
  const auto value = std::chrono::duration_cast<milliseconds>(fallback);
  return milliseconds(reader.Integer(key, value.count(), min, kMaxDurationMs));
}

void ReadLimits(ConfigReader& reader, StartConfig& out) {
  out.caller_threads =
      ReadThreadCount(reader, "threads.caller", out.caller_threads);
  out.backend_threads =
      ReadThreadCount(reader, "threads.backend", out.backend_threads);
  out.timer_threads =
      ReadThreadCount(reader, "threads.timer", out.timer_threads);
  out.max_body_bytes = static_cast<size_t>(reader.Integer(
      "limits.max_body_bytes", static_cast<int64_t>(out.max_body_bytes), 1024,
      kMaxBodySizeBytes));
  out.max_header_bytes = static_cast<size_t>(reader.Integer(
      "limits.max_header_bytes", static_cast<int64_t>(out.max_header_bytes),
      1024, kMaxHeaderSizeBytes));
  out.max_connections = static_cast<uint32_t>(reader.Integer(
      "limits.max_connections", out.max_connections, 1, kMaxConnectionCount));
  out.idle_timeout = ReadMilliseconds(reader, "limits.idle_timeout_ms",
                                      out.idle_timeout, 1000);
  out.drain_notice =
      ReadMilliseconds(reader, "drain.notice_ms", out.drain_notice, 0);
  out.drain_limit =
      ReadMilliseconds(reader, "drain.limit_ms", out.drain_limit, 1);
}

}  // namespace

StartConfigError::StartConfigError(std::vector<std::string> problems)
    : std::runtime_error(Join(problems)), m_problems(std::move(problems)) {}

StartConfig ParseStartConfig(std::string_view text, const std::string& source) {
  toml::table root;
  try {
    root = toml::parse(text, std::string_view(source));
  } catch (const toml::parse_error& error) {
    throw StartConfigError(
        {source + ":" + std::to_string(error.source().begin.line) +
         ": not valid TOML: " + std::string(error.description())});
  }
  ConfigReader reader(root, source);
  StartConfig out;
  ReadIdentityAndAddresses(reader, out);
  ReadLimits(reader, out);
  const std::string level = reader.String(
      "log.level", "debug, info, warning, error", &IsLogLevel, "info");
  reader.ReportUnknownKeys();
  if (!reader.problems().empty())
    throw StartConfigError(reader.problems());
  out.log_level = ParseLogLevel(level);
  return out;
}

StartConfig LoadStartConfig(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    throw StartConfigError({path + ": cannot be read, or is empty"});
  return ParseStartConfig(text.str(), path);
}

}  // namespace wasabihook
