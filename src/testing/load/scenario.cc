#include "testing/load/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace wasabihook::load {
namespace {

// Reads the keys of one table and records them, so that RejectUnknownKeys() can
// report the rest.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string where)
      : m_table(table), m_where(std::move(where)) {}

  template <typename T>
  T Get(std::string_view key, T fallback) {
    m_read.emplace_back(key);
    const toml::node_view<const toml::node> node = m_table[key];
    if (!node) {
      return fallback;
    }
    if (const std::optional<T> value = node.value<T>()) {
      return *value;
    }
    throw std::runtime_error(m_where + ": " + std::string(key) +
                             " has the wrong type");
  }

  std::string Required(std::string_view key) {
    std::string value = Get<std::string>(key, "");
    if (value.empty()) {
      throw std::runtime_error(m_where + ": " + std::string(key) +
                               " is missing");
    }
    return value;
  }

  std::optional<Duration> Seconds(std::string_view key) {
    if (!m_table.contains(key)) {
      m_read.emplace_back(key);
      return std::nullopt;
    }
    return ToDuration(Get<double>(key, 0), 1e6);
  }

  Duration Millis(std::string_view key, double fallback) {
    return ToDuration(Get<double>(key, fallback), 1e3);
  }

  std::vector<const toml::table*> Tables(std::string_view key) {
    m_read.emplace_back(key);
    std::vector<const toml::table*> tables;
    if (const toml::array* array = m_table[key].as_array()) {
      for (const toml::node& node : *array) {
        if (const toml::table* table = node.as_table()) {
          tables.push_back(table);
        }
      }
    }
    return tables;
  }

  void RejectUnknownKeys() const {
    for (const auto& [key, value] : m_table) {
      if (std::find(m_read.begin(), m_read.end(), key.str()) == m_read.end()) {
        throw std::runtime_error(m_where + ": unknown key " +
                                 std::string(key.str()));
      }
    }
  }

 private:
  static Duration ToDuration(double value, double micros) {
    return Duration(std::llround(value * micros));
  }

  const toml::table& m_table;
  std::string m_where;
  std::vector<std::string> m_read;
};

LoadStream ReadLoad(const toml::table& table, const std::string& where) {
  constexpr double kDeadlineMs = 1000;
  TableReader reader(table, where + " [[load]]");
  LoadStream load;
  load.team = reader.Required("team");
  load.index_set = reader.Required("index_set");
  load.busy = reader.Get<double>("busy", 0);
  load.fetch_share = reader.Get<double>("fetch_share", 0);
  load.operation_share = reader.Get<double>("operation_share", 0);
  load.deadline = reader.Millis("deadline_ms", kDeadlineMs);
  load.measured = reader.Get<bool>("measured", true);
  load.from = reader.Seconds("from_s");
  load.to = reader.Seconds("to_s");
  reader.RejectUnknownKeys();
  return load;
}

Fault ReadFault(const toml::table& table, const std::string& where) {
  TableReader reader(table, where + " [[fault]]");
  Fault fault;
  fault.at = reader.Seconds("at_s").value_or(Duration(0));
  fault.action = reader.Required("action");
  fault.index_set = reader.Get<std::string>("index_set", "");
  fault.servers =
      static_cast<uint32_t>(reader.Get<int64_t>("servers", int64_t{0}));
  fault.data_centre = reader.Get<std::string>("data_centre", "");
  fault.share = reader.Get<double>("share", 0);
  fault.extra = reader.Millis("extra_ms", 0);
  fault.factor = reader.Get<double>("factor", 1);
  reader.RejectUnknownKeys();
  return fault;
}

Bound ReadBound(const toml::table& table, const std::string& where) {
  TableReader reader(table, where + " [[bound]]");
  Bound bound;
  bound.measure = reader.Required("measure");
  bound.at_least = table.contains("at_least");
  if (bound.at_least == table.contains("at_most")) {
    throw std::runtime_error(where + " [[bound]]: " + bound.measure +
                             " needs one of at_most and at_least");
  }
  const double at_least = reader.Get<double>("at_least", 0);
  const double at_most = reader.Get<double>("at_most", 0);
  bound.limit = bound.at_least ? at_least : at_most;
  bound.relative_to = reader.Get<std::string>("relative_to", "");
  bound.from = reader.Seconds("from_s");
  bound.to = reader.Seconds("to_s");
  reader.RejectUnknownKeys();
  return bound;
}

}  // namespace

Scenario ParseScenario(const std::string& text, const std::string& source) {
  constexpr double kWarmUpMs = 4000;
  constexpr double kLengthMs = 10000;
  toml::table root;
  try {
    root = toml::parse(std::string_view(text), std::string_view(source));
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << source << ": " << error.description() << " at line "
            << error.source().begin.line;
    throw std::runtime_error(message.str());
  }
  TableReader reader(root, source);
  Scenario scenario;
  scenario.name = reader.Required("name");
  scenario.title = reader.Required("title");
  scenario.deployment = reader.Required("deployment");
  scenario.warm_up = reader.Millis("warm_up_ms", kWarmUpMs);
  scenario.length = reader.Millis("length_ms", kLengthMs);
  scenario.draw_two = reader.Get<bool>("draw_two", false);
  for (const toml::table* table : reader.Tables("load")) {
    scenario.loads.push_back(ReadLoad(*table, source));
  }
  for (const toml::table* table : reader.Tables("fault")) {
    scenario.faults.push_back(ReadFault(*table, source));
  }
  for (const toml::table* table : reader.Tables("bound")) {
    scenario.bounds.push_back(ReadBound(*table, source));
  }
  reader.RejectUnknownKeys();
  return scenario;
}

Scenario ReadScenario(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseScenario(text.str(), path);
}

}  // namespace wasabihook::load
