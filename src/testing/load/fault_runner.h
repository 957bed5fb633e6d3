#ifndef SRC_TESTING_LOAD_FAULT_RUNNER_H_
#define SRC_TESTING_LOAD_FAULT_RUNNER_H_

// PRIVATE HEADER. Applies a scenario's faults at their times.

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

// Servers that a fault applies to. Faults that name the same index set, data
// centre and number get the same servers, so that a later one can undo an
// earlier one.
std::vector<ControlledServer> DrawServers(
    const std::vector<ControlledServer>& servers,
    const Fault& fault,
    uint64_t seed);

struct FaultRunnerOptions {
  const BackendsControl* backends = nullptr;
  SettingsPublisher* publisher = nullptr;
  std::map<std::string, IndexSetSize> sizes;
  uint64_t seed = 0;
  // Start of the measured part.
  std::chrono::steady_clock::time_point start;
};

// Runs the faults on a thread of its own.
class FaultRunner {
 public:
  FaultRunner(FaultRunnerOptions options, std::vector<Fault> faults);
  ~FaultRunner();
  FaultRunner(const FaultRunner&) = delete;
  FaultRunner& operator=(const FaultRunner&) = delete;

  // Waits for the last fault. Throws std::runtime_error if one failed.
  void Finish();
  // Servers that a fault with this action applied to; valid after Finish().
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
