#ifndef PROGRAMS_WASABIHOOK_SOAK_SOAK_H_
#define PROGRAMS_WASABIHOOK_SOAK_SOAK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway/event_loop.h"
#include "platform/testing/fakes.h"
#include "wasabihook-soak/fault_proxy.h"
#include "wasabihook-soak/gateway_process.h"

namespace wasabihook::soak {

inline constexpr size_t kShards = 6;

struct SoakOptions {
  uint64_t seed = 1;
  Duration duration = std::chrono::seconds(10);
  uint32_t gateways = 3;
  std::string program;
  // Directory of the configuration files and logs.
  std::string folder;
};

struct SoakResult {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t faults = 0;
  // Servers that ended under the crashing request.
  uint64_t crashes = 0;
  // Limits that servers named.
  uint64_t limits = 0;
  // Servers that said they leave, and pauses that servers asked for.
  uint64_t leaving = 0;
  uint64_t pauses = 0;
  // Times that the store came back from an older copy.
  uint64_t restores = 0;
  // Violated guarantees, in the order of detection.
  std::vector<std::string> violations;
};

// Runs gateway processes against fakes of the platform, injects random faults,
// and checks the replies that callers receive and the requests that servers
// execute.
class Soak {
 public:
  explicit Soak(SoakOptions options);
  ~Soak();
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  SoakResult Run();

 private:
  enum class Kind : uint8_t { kSearch, kWrite, kCrash, kVersion };

  // Request in flight.
  struct Pending {
    std::unique_ptr<gateway::testing::FakeCaller> caller;
    std::string id;
    Kind kind = Kind::kSearch;
    size_t gateway = 0;
    TimePoint sent_at;
    // With kVersion: the configuration version whose route is asked for.
    int version = 0;
  };
  using CallerPtr = std::unique_ptr<gateway::testing::FakeCaller>;
  // A gateway process, and the signals that the soak has sent to it.
  struct Instance {
    std::unique_ptr<GatewayProcess> process;
    size_t data_centre = 0;
    // Callers with an open connection and no request in flight.
    std::vector<CallerPtr> idle;
    // When the process was last started, signalled or continued.
    TimePoint last_disturbance;
    bool stopped = false;
    bool terminating = false;
    // SIGKILL was sent and the process has not been reaped.
    bool killed = false;
    // Newest configuration version that the process was seen to serve since it
    // started.
    int served_version = 0;

    // True if the process has run without signals or restarts since `time`.
    bool UndisturbedSince(TimePoint time) const {
      return !killed && !stopped && !terminating && last_disturbance < time;
    }
  };

  enum class StatementKind : uint8_t { kLimit, kLeaving, kPause };
  // What a server says of itself. Its link and its answers are left in order
  // meanwhile.
  struct Statement {
    StatementKind kind = StatementKind::kLimit;
    TimePoint since;
    // With kPause: the time that it asks for.
    Duration pause{0};
  };
  // The process that got a request of a caller.
  struct Sent {
    size_t gateway = 0;
    TimePoint at;
  };

  // Repetition of a request that crashes servers.
  struct Repetition {
    TimePoint sent_at;
    // The process that got it, and the store, had been undisturbed for the time
    // in which the fleet has to learn of crashes.
    bool in_touch = false;
  };
  // A request that crashes a share of the servers that run it.
  struct CrashingRequest {
    const char* target = nullptr;
    // One of so many executions crashes the server; the others are answered.
    size_t crashes_one_in = 1;
    // By request id.
    std::map<std::string, Repetition> repetitions{};
    std::vector<TimePoint> crashes{};
  };

  void AddServers();
  // Writes the entry of the server with this index to the store.
  void Register(size_t server);
  void PutConfig();
  void SendRequests();
  void SendRequest();
  void SendCrashingRequest(CrashingRequest& request);
  void RestartServers();
  void CheckCrashingRequest(const CrashingRequest& request);
  // The store is away for a moment and comes back from a copy of some seconds
  // ago; then what operators and servers wrote since is written again.
  void TakeStoreCopy();
  void RestoreStore();
  // Asks a process for the route of the newest configuration version.
  void SendVersionRequest();
  // Each version has to be in force in time, and must not go back.
  void CheckVersion(const Pending& pending);
  // Lets a server say something of itself for some time, and checks what it got
  // meanwhile: it names a limit, it leaves, or it wants nothing for a while.
  void StartLimit();
  void StartLeaving();
  void StartPause();
  void StartStatement(size_t server, StatementKind kind, Duration time);
  void EndStatement(size_t server);
  void CheckLimit(size_t server, TimePoint since);
  void CheckLeaving(size_t server);
  void CheckPause(size_t server, Duration pause);
  CallerPtr TakeCaller(Instance& instance);
  void CollectAnswers();
  void Check(const Pending& pending);
  void CheckSearch(const Pending& pending);
  void CheckWrite(const Pending& pending);
  void CheckWritesRanOnce();
  void InjectFault();
  void InjectLinkFault();
  void InjectProcessFault();
  void InjectStoreFault();
  void InjectDataCentreFault();
  bool IsStoreDisturbed() const;
  void StopProcess(Instance& instance);
  void ReapProcesses();
  void ClearFaults();
  void CheckRecovery();
  void ReportViolation(const std::string& what);
  size_t RandomIndex(size_t count);

  const SoakOptions m_options;
  std::mt19937_64 m_random;
  // Draws for the restores of the store and for servers that leave or pause, so
  // that they don't change the other faults of a seed.
  std::mt19937_64 m_restore_random;
  std::mt19937_64 m_statement_random;
  gateway::EventLoop m_loop;
  gateway::testing::FakeStoreServer m_store;
  std::vector<std::unique_ptr<gateway::testing::FakeBackendServer>> m_servers;
  // Service of each server, in the order of m_servers.
  std::vector<std::string> m_services;
  // Due time of the restart of each crashed server.
  std::map<size_t, TimePoint> m_restarts;
  std::vector<CrashingRequest> m_crashing_requests;
  TimePoint m_store_disturbed_at;
  struct StoreCopy {
    TimePoint taken_at;
    std::shared_ptr<const gateway::testing::FakeStoreServer::Copy> content;
  };
  std::deque<StoreCopy> m_store_copies;
  TimePoint m_config_put_at;
  std::map<size_t, Statement> m_statements;
  // By request id.
  std::map<std::string, Sent> m_sent;
  std::vector<std::unique_ptr<FaultProxy>> m_links;
  // Link from each data centre to the store.
  std::vector<std::unique_ptr<FaultProxy>> m_store_links;
  std::vector<Instance> m_gateways;
  std::vector<Pending> m_pending;
  // HTTP status of each answered write, by request id.
  std::map<std::string, int> m_writes;
  uint64_t m_next_id = 1;
  int m_version = 0;
  TimePoint m_burst_until;
  bool m_inject_faults = true;
  SoakResult m_result;
};

}  // namespace wasabihook::soak

#endif  // PROGRAMS_WASABIHOOK_SOAK_SOAK_H_
