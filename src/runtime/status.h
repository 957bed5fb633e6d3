#ifndef SRC_RUNTIME_STATUS_H_
#define SRC_RUNTIME_STATUS_H_

// PRIVATE HEADER. Body of GET /v1/status.

#include <string>

#include "runtime/daemon_components.h"
#include "runtime/start_config.h"

namespace wasabihook {

struct DaemonState {
  std::string version;
  bool ready = false;
  bool draining = false;
};

// JSON document; docs/operations.md describes it.
std::string EncodeStatus(const DaemonComponents& components,
                         const StartConfig& config,
                         const DaemonState& state);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_STATUS_H_
