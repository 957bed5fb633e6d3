#include "gateway/gateway_settings.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace wasabihook::gateway {
namespace {

// Reads the keys of one table and collects problems with their values.
class TableReader {
 public:
  TableReader(const toml::table& root, std::string name, std::string& problems)
      : m_table(root[name].as_table()),
        m_name(std::move(name)),
        m_problems(problems) {}

  std::string Text(const char* key, bool required) {
    const auto value = Node(key).value<std::string>();
    if (!value && required)
      Add(key, "is missing or not a string");
    return value.value_or("");
  }

  double Number(const char* key, double fallback, double min, double max) {
    const auto node = Node(key);
    if (!node)
      return fallback;
    const auto value = node.value<double>();
    if (value && *value >= min && *value <= max)
      return *value;
    Add(key, "must be a number from " + std::to_string(min) + " to " +
                 std::to_string(max));
    return fallback;
  }

  bool Flag(const char* key, bool fallback) {
    const auto node = Node(key);
    if (!node)
      return fallback;
    const auto value = node.value_exact<bool>();
    if (!value)
      Add(key, "must be true or false");
    return value.value_or(fallback);
  }

  Duration Millis(const char* key, Duration fallback) {
    return Time(key, fallback, 1e3);
  }
  Duration Seconds(const char* key, Duration fallback) {
    return Time(key, fallback, 1e6);
  }

 private:
  // `unit` is the number of microseconds in one unit of the key.
  Duration Time(const char* key, Duration fallback, double unit) {
    constexpr double kMaxMicros = 3.6e9;
    const double value =
        Number(key, static_cast<double>(fallback.count()) / unit, 0,
               kMaxMicros / unit);
    return Duration(static_cast<int64_t>(value * unit));
  }
  toml::node_view<const toml::node> Node(const char* key) const {
    return m_table != nullptr ? (*m_table)[key]
                              : toml::node_view<const toml::node>();
  }
  void Add(const char* key, const std::string& what) {
    m_problems += m_name + "." + key + ": " + what + "\n";
  }

  const toml::table* m_table;
  std::string m_name;
  std::string& m_problems;
};

}  // namespace

GatewaySettings ParseGatewaySettings(std::string_view text,
                                     const std::string& source) {
  toml::table root;
  try {
    root = toml::parse(text, std::string_view(source));
  } catch (const toml::parse_error& error) {
    throw GatewaySettingsError(
        source + ":" + std::to_string(error.source().begin.line) +
        ": not valid TOML: " + std::string(error.description()));
  }
  std::string problems;
  GatewaySettings out;
  TableReader instance(root, "instance", problems);
  out.instance = InstanceId(instance.Text("id", true));
  out.data_centre = DataCentreId(instance.Text("data_centre", true));
  TableReader listen(root, "listen", problems);
  out.caller_address = listen.Text("caller", true);
  out.readiness_address = listen.Text("readiness", true);
  out.metrics_address = listen.Text("metrics", false);
  out.feed_address = listen.Text("feed", false);
  TableReader store(root, "store", problems);
  out.store_address = store.Text("address", true);
  TableReader limits(root, "limits", problems);
  constexpr double kMinMemoryMb = 32;
  constexpr double kMinDescriptors = 256;
  out.memory_mb = static_cast<size_t>(limits.Number(
      "memory_mb", static_cast<double>(out.memory_mb), kMinMemoryMb, 1e6));
  out.max_descriptors = static_cast<size_t>(
      limits.Number("max_fds", static_cast<double>(out.max_descriptors),
                    kMinDescriptors, 1e7));
  TableReader capacity(root, "capacity", problems);
  out.learns_capacity = capacity.Flag("learn", out.learns_capacity);
  TableReader bounds(root, "bounds", problems);
  ServiceBounds& b = out.bounds;
  b.retry_ratio = bounds.Number("retry_ratio", b.retry_ratio, 0, 10);
  b.retry_slack = bounds.Number("retry_slack", b.retry_slack, 0, 1e6);
  b.retry_window = bounds.Seconds("retry_window_s", b.retry_window);
  b.drain = bounds.Millis("drain_ms", b.drain);
  b.config_apply = bounds.Millis("config_apply_ms", b.config_apply);
  b.grace = bounds.Seconds("grace_s", b.grace);
  b.allowance_window = bounds.Seconds("allowance_window_s", b.allowance_window);
  b.allowance_overage =
      bounds.Number("allowance_overage", b.allowance_overage, 0, 10);
  b.allowance_slack =
      bounds.Number("allowance_slack", b.allowance_slack, 0, 1e6);
  if (!problems.empty())
    throw GatewaySettingsError(source + ": " + problems);
  return out;
}

GatewaySettings LoadGatewaySettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf()))
    throw GatewaySettingsError(path + ": cannot be read, or is empty");
  return ParseGatewaySettings(text.str(), path);
}

}  // namespace wasabihook::gateway
