#ifndef SRC_RUNTIME_START_CONFIG_H_
#define SRC_RUNTIME_START_CONFIG_H_

// PRIVATE HEADER. Startup configuration file of a daemon: values that an
// instance cannot obtain from the settings stored in the platform.

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "runtime/logging.h"
#include "wasabihook/config.h"
#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

struct StartConfig {
  // [instance]
  InstanceId instance;
  DataCentreId data_centre;
  // [listen], each "ip:port"
  std::string caller_address;
  std::string peer_address;
  std::string admin_address;
  // [platform]
  std::string platform_address;
  // [peers]
  std::vector<std::string> seeds;
  // [threads]
  uint32_t caller_threads = config::kListenerThreads;
  uint32_t backend_threads = config::kBackendThreads;
  uint32_t timer_threads = config::kTimerThreads;
  // [limits]
  size_t max_body_bytes = config::kMaxBodyBytes;
  size_t max_header_bytes = config::kMaxHeaderBytes;
  uint32_t max_connections = config::kMaxCallerConnections;
  Duration idle_timeout = config::kCallerIdleTimeout;
  // [drain]
  Duration drain_notice = config::kDrainNotice;
  Duration drain_limit = config::kDrainLimit;
  // [log]
  LogLevel log_level = LogLevel::kInfo;
};

// All problems in a startup configuration file, one line each: "file:line: key:
// problem and allowed values".
class StartConfigError : public std::runtime_error {
 public:
  explicit StartConfigError(std::vector<std::string> problems);
  const std::vector<std::string>& problems() const { return m_problems; }

 private:
  std::vector<std::string> m_problems;
};

// Throws StartConfigError. `source` is the file name for problem messages.
StartConfig ParseStartConfig(std::string_view text, const std::string& source);
// Throws StartConfigError, also if the file cannot be read.
StartConfig LoadStartConfig(const std::string& path);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_START_CONFIG_H_
