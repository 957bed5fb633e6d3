#ifndef SRC_TESTING_LOAD_BACKENDS_CONTROL_H_
#define SRC_TESTING_LOAD_BACKENDS_CONTROL_H_

// PRIVATE HEADER. HTTP client of the control API of wasabihook-fake-backends.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/load/oracle.h"

namespace wasabihook::load {

struct ControlledServer {
  std::string server;
  std::string index_set;
  std::string group;
  std::string data_centre;
};

// Counters of one server since the fake backend servers started.
struct ServerCounts {
  uint64_t received = 0;
  uint64_t started = 0;
  uint64_t crashes = 0;
};
using CountsByServer = std::map<std::string, ServerCounts>;

// Every function throws std::runtime_error if the call fails.
class BackendsControl {
 public:
  explicit BackendsControl(std::string address);

  std::vector<ControlledServer> Servers() const;
  CountsByServer Counts() const;
  // Appends the recorded runs to `reference` and sets reads_have_payload.
  void ReadRunLog(ReferenceData* reference) const;
  // Settings subtree of `team` for the current state of the servers.
  std::string SettingsText(const std::string& team) const;

  void SetFaults(const std::string& server, const nlohmann::json& faults) const;
  void RollIndex(const std::string& index_set,
                 uint64_t version,
                 const std::string& data_centre) const;
  void Repartition(const std::string& index_set, uint32_t groups) const;

 private:
  std::string Get(const std::string& path) const;
  std::string Post(const std::string& path, const nlohmann::json& body) const;

  const std::string m_address;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_BACKENDS_CONTROL_H_
