#ifndef PROGRAMS_WASABIHOOK_SOAK_SOAK_H_
#define PROGRAMS_WASABIHOOK_SOAK_SOAK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/event_loop.h"
#include "platform/testing/stand_in.h"
#include "wasabihook-soak/fault_proxy.h"
#include "wasabihook-soak/gateway_process.h"

namespace wasabihook::soak {

struct SoakOptions {
  uint64_t seed = 1;
  Duration duration = std::chrono::seconds(10);
  uint32_t gateways = 3;
  std::string program;
  // Start files and logs.
  std::string folder;
};

struct SoakResult {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t faults = 0;
  // Broken promises, in order.
  std::vector<std::string> broken;
};

// Runs gateway processes against stand-ins of the platform while faults come at
// random, and checks what callers and servers see.
class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  SoakResult Run();

 private:
  enum class Kind : uint8_t { kSearch, kWrite };

  // One request in flight.
  struct Pending {
    std::unique_ptr<gateway::testing::CallerStandIn> caller;
    std::string id;
    Kind kind = Kind::kSearch;
    size_t gateway = 0;
    TimePoint sent_at;
  };
  using CallerPtr = std::unique_ptr<gateway::testing::CallerStandIn>;
  // State of one process as the soak drives it.
  struct Instance {
    std::unique_ptr<GatewayProcess> process;
    size_t data_centre = 0;
    // Callers with an open connection that wait for their next request.
    std::vector<CallerPtr> idle;
    // When the process was last started, signalled or continued.
    TimePoint disturbed_at;
    bool stopped = false;
    bool terminating = false;
    // SIGKILL was sent, and the end of the process is not noticed yet.
    bool killed = false;

    // Since before `time` the process has run without a disturbance.
    bool CalmSince(TimePoint time) const {
      return !killed && !stopped && !terminating && disturbed_at < time;
    }
  };

  void AddServers();
  void PutConfig();
  void SendRequests();
  void SendRequest();
  CallerPtr TakeCaller(Instance& instance);
  void CollectAnswers();
  void Check(const Pending& pending);
  void CheckSearch(const Pending& pending);
  void CheckWrite(const Pending& pending);
  void CheckWritesRanOnce();
  void InjectFault();
  void FaultLink();
  void FaultProcess();
  void FaultStore();
  void FaultDataCentre();
  void StopProcess(Instance& instance);
  void ReapProcesses();
  void Heal();
  void CheckRecovery();
  void Break(const std::string& what);
  size_t Draw(size_t count);

  const SoakOptions m_options;
  std::mt19937_64 m_random;
  gateway::EventLoop m_loop;
  gateway::testing::StoreStandIn m_store;
  std::vector<std::unique_ptr<gateway::testing::ServerStandIn>> m_servers;
  std::vector<std::unique_ptr<FaultProxy>> m_links;
  // Of each data centre to the store.
  std::vector<std::unique_ptr<FaultProxy>> m_store_links;
  std::vector<Instance> m_gateways;
  std::vector<Pending> m_pending;
  // Status of each answered write, by request id.
  std::map<std::string, int> m_writes;
  uint64_t m_next_id = 1;
  int m_version = 0;
  TimePoint m_burst_until;
  bool m_faults_on = true;
  SoakResult m_result;
};

}  // namespace wasabihook::soak

#endif  // PROGRAMS_WASABIHOOK_SOAK_SOAK_H_
