#include "testing/load/deployment.h"

#include <toml++/toml.h>

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace wasabihook::load {
namespace {

uint32_t CountOf(const toml::table& table, const char* key) {
  const int64_t value = table[key].value_or(int64_t{0});
  if (value < 1) {
    throw std::runtime_error(std::string(key) + " is missing in the topology");
  }
  return static_cast<uint32_t>(value);
}

}  // namespace

double ServiceTime::mean_ms() const {
  return median_ms * std::exp(sigma * sigma / 2);
}

double IndexSetSize::Capacity(const ServiceTime& service) const {
  return servers_per_group * slots * 1000.0 / service.mean_ms();
}

std::map<std::string, IndexSetSize> ReadDeployment(const std::string& path) {
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << error;
    throw std::runtime_error(message.str());
  }
  std::map<std::string, IndexSetSize> sizes;
  if (const toml::array* sets = root["index_sets"].as_array()) {
    for (const toml::node& node : *sets) {
      if (const toml::table* table = node.as_table()) {
        const std::string name = (*table)["name"].value_or(std::string());
        sizes[name] = {CountOf(*table, "groups"),
                       CountOf(*table, "servers_per_group"),
                       CountOf(*table, "slots")};
      }
    }
  }
  return sizes;
}

}  // namespace wasabihook::load
