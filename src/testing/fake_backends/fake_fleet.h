// Private. Set of fake backend servers in one process.
#ifndef SRC_TESTING_FAKE_BACKENDS_FAKE_FLEET_H_
#define SRC_TESTING_FAKE_BACKENDS_FAKE_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "testing/fake_backends/corpus.h"
#include "testing/fake_backends/event_loop.h"
#include "testing/fake_backends/fake_server.h"
#include "testing/fake_backends/run_log.h"
#include "wasabihook/ids.h"

namespace wasabihook::testing {

struct FakeIndexSet {
  std::string name;
  uint32_t groups = 1;
  uint32_t servers_per_group = 1;
  uint32_t slots = 2;
  uint32_t queue = 4;
  uint32_t max_connections = 25;
  Duration connect_delay{0};
  uint64_t records = 1000;  // Total over all groups.
  Duration service_median{0};
  double service_sigma = 0;
};

struct FakeFleetOptions {
  std::vector<FakeIndexSet> index_sets;
  // Replica r of group g is in data centre (g + r) mod count.
  std::vector<std::string> data_centres = {"dc-1"};
  uint16_t base_port = 0;  // 0 selects free ports.
  uint32_t threads = 1;
  uint64_t seed = 1;
  std::string crash_marker;
  Duration restart_delay = std::chrono::seconds(2);
  // Number of read runs that the log keeps.
  size_t max_logged_reads = RunLog::kDefaultMaxReads;
};

struct FakeServerInfo {
  ServerId id;
  std::string index_set;
  uint32_t base_group = 0;
  std::string data_centre;
};

// Selects the servers that match all non-empty members.
struct ServerSelector {
  std::string server = {};
  std::string index_set = {};
  std::string group = {};
  std::string data_centre = {};

  bool Matches(const FakeServerInfo& info) const;
  // Throws std::invalid_argument for an unknown member.
  static ServerSelector FromJson(const nlohmann::json& select);
};

// The constructor starts all servers and throws std::runtime_error if a port is
// in use. Thread-safe, but must not be called from the event loops of the
// servers.
class FakeFleet {
 public:
  explicit FakeFleet(FakeFleetOptions options);
  ~FakeFleet();
  FakeFleet(const FakeFleet&) = delete;
  FakeFleet& operator=(const FakeFleet&) = delete;

  const std::vector<FakeServerInfo>& servers() const { return m_infos; }
  RunLog& log() { return m_log; }
  // Throws std::out_of_range for an unknown index set.
  const Corpus& corpus(const std::string& index_set) const;

  // Applies `faults` to the selected servers and returns their number. Throws
  // like ChangeFaults(), in which case no server is changed.
  size_t Change(const ServerSelector& select, const nlohmann::json& faults);
  // Makes the selected servers serve `version` and the version before it.
  // Returns their number.
  size_t RollIndexVersion(const std::string& index_set,
                          uint64_t version,
                          const ServerSelector& select = {});
  // Divides the records into `groups` groups under a new map version and
  // returns that version. The servers also keep serving the previous map.
  uint64_t Repartition(const std::string& index_set, uint32_t groups);

  FakeServerStats Stats(const ServerId& server) const;
  nlohmann::json StatsJson() const;
  // Settings subtree of `team` for the current state.
  std::string SettingsToml(const std::string& team) const;

 private:
  struct IndexSetState {
    FakeIndexSet spec;
    std::shared_ptr<const Corpus> corpus;
    uint64_t index_version = 1;
    uint64_t map_version = 1;
    uint32_t groups = 1;
  };
  struct Entry {
    EventLoop* loop;
    std::unique_ptr<FakeServer> server;
  };

  void AddIndexSet(const FakeIndexSet& index_set);
  void AppendSettings(const std::string& name,
                      const IndexSetState& state,
                      std::string* text) const;
  size_t ForEach(const ServerSelector& select,
                 const std::function<void(FakeServer&)>& action) const;

  const FakeFleetOptions m_options;
  const LoopClock::time_point m_started = LoopClock::now();
  RunLog m_log;
  std::vector<std::unique_ptr<EventLoop>> m_loops;
  std::vector<FakeServerInfo> m_infos;
  std::vector<Entry> m_servers;  // In the order of m_infos.
  mutable std::mutex m_mutex;
  std::map<std::string, IndexSetState> m_index_sets;  // Guarded by m_mutex.
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_FAKE_FLEET_H_
