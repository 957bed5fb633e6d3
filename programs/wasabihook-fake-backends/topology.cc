#include "wasabihook-fake-backends/topology.h"

#include <toml++/toml.h>
#include <charconv>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace wasabihook {
namespace {

using testing::FakeIndexSet;

Duration FromMs(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double ParseDouble(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end || value < 0) {
    throw std::invalid_argument("not a number: " + text);
  }
  return value;
}

uint32_t ParseCount(const std::string& text) {
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || at != end || value == 0) {
    throw std::invalid_argument("not a positive number: " + text);
  }
  return value;
}

FakeIndexSet WithDefaults(const TopologyDefaults& defaults) {
  FakeIndexSet index_set;
  index_set.queue = defaults.queue;
  index_set.service_median = defaults.service_median;
  index_set.service_sigma = defaults.service_sigma;
  return index_set;
}

uint32_t CountOf(const toml::table& table, std::string_view key, uint32_t or_) {
  const int64_t value = table[key].value_or<int64_t>(or_);
  if (value < 1 || value > 1000000) {
    throw std::invalid_argument("out of range: " + std::string(key));
  }
  return static_cast<uint32_t>(value);
}

FakeIndexSet ParseTable(const toml::table& table,
                        const TopologyDefaults& defaults) {
  FakeIndexSet index_set = WithDefaults(defaults);
  index_set.name = table["name"].value_or<std::string>("");
  if (index_set.name.empty()) {
    throw std::invalid_argument("an index set has no name");
  }
  index_set.groups = CountOf(table, "groups", 1);
  index_set.servers_per_group = CountOf(table, "servers_per_group", 1);
  index_set.slots = CountOf(table, "slots", index_set.slots);
  index_set.queue =
      static_cast<uint32_t>(table["queue"].value_or<int64_t>(index_set.queue));
  index_set.max_connections =
      CountOf(table, "max_connections", index_set.max_connections);
  index_set.connect_delay =
      FromMs(table["connect_delay_ms"].value_or<double>(0));
  if (auto median = table["service_median_ms"].value<double>()) {
    index_set.service_median = FromMs(*median);
  }
  index_set.service_sigma =
      table["service_sigma"].value_or<double>(double(index_set.service_sigma));
  index_set.records = defaults.records_per_group * uint64_t{index_set.groups};
  if (table.contains("records")) {
    index_set.records = CountOf(table, "records", 1);
  }
  return index_set;
}

}  // namespace

FakeIndexSet ParseIndexSetFlag(std::string_view text,
                               const TopologyDefaults& defaults) {
  std::vector<std::string> parts;
  std::istringstream in{std::string(text)};
  for (std::string part; std::getline(in, part, ':');) {
    parts.push_back(part);
  }
  if (parts.size() != 6 || parts[0].empty()) {
    throw std::invalid_argument(
        "--index-set needs name:groups:servers_per_group:slots:"
        "max_connections:connect_delay_ms, got: " +
        std::string(text));
  }
  FakeIndexSet index_set = WithDefaults(defaults);
  index_set.name = parts[0];
  index_set.groups = ParseCount(parts[1]);
  index_set.servers_per_group = ParseCount(parts[2]);
  index_set.slots = ParseCount(parts[3]);
  index_set.max_connections = ParseCount(parts[4]);
  index_set.connect_delay = FromMs(ParseDouble(parts[5]));
  index_set.records = defaults.records_per_group * uint64_t{index_set.groups};
  return index_set;
}

void ParseTopology(std::string_view text,
                   std::string_view source,
                   const TopologyDefaults& defaults,
                   testing::FakeFleetOptions* options) {
  toml::table root;
  try {
    root = toml::parse(text, source);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << error;
    throw std::invalid_argument(message.str());
  }
  if (const toml::array* centres = root["data_centres"].as_array()) {
    options->data_centres.clear();
    for (const toml::node& centre : *centres) {
      options->data_centres.push_back(centre.value_or<std::string>(""));
    }
  }
  if (const toml::array* sets = root["index_sets"].as_array()) {
    for (const toml::node& node : *sets) {
      if (const toml::table* table = node.as_table()) {
        options->index_sets.push_back(ParseTable(*table, defaults));
      }
    }
  }
  if (options->data_centres.empty()) {
    throw std::invalid_argument("data_centres is empty");
  }
}

}  // namespace wasabihook
