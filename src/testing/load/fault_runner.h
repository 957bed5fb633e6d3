#ifndef SRC_TESTING_LOAD_FAULT_RUNNER_H_
#define SRC_TESTING_LOAD_FAULT_RUNNER_H_

// PRIVATE HEADER. Injects a scenario's faults at their scheduled times.

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "testing/load/backends_control.h"
#include "testing/load/deployment.h"
#include "testing/load/scenario.h"
#include "testing/load/settings_publisher.h"

namespace wasabihook::load {

// Selects the servers that a fault applies to. Faults with the same index set,
// data centre and server count get the same servers, so that a later fault can
// undo an earlier one.
std::vector<ControlledServer> DrawServers(
    const std::vector<ControlledServer>& servers,
    const Fault& fault,
    uint64_t seed);

struct FaultRunnerOptions {
  const BackendsControl* backends = nullptr;
  SettingsPublisher* publisher = nullptr;
  std::map<std::string, IndexSetSize> sizes;
  uint64_t seed = 0;
  // End of the warm-up; fault times are relative to it.
  std::chrono::steady_clock::time_point start;
};

// Injects the faults from a background thread.
class FaultRunner {
 public:
  FaultRunner(FaultRunnerOptions options, std::vector<Fault> faults);
  ~FaultRunner();
  FaultRunner(const FaultRunner&) = delete;
  FaultRunner& operator=(const FaultRunner&) = delete;

  // Waits until all faults are applied. Throws std::runtime_error if one
  // failed.
  void Finish();
  // Names of the servers that faults with `action` applied to. Valid after
  // Finish().
  std::vector<std::string> ServersWithAction(const std::string& action) const;

 private:
  void Run();
  void Apply(const Fault& fault);
  void ApplyToServers(const Fault& fault);

  const FaultRunnerOptions m_options;
  std::vector<Fault> m_faults;
  const std::vector<ControlledServer> m_servers;
  uint64_t m_index_version = 1;
  std::string m_error;
  std::thread m_thread;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_FAULT_RUNNER_H_
