// Private. One fake backend server.
#ifndef SRC_TESTING_FAKE_BACKENDS_FAKE_SERVER_H_
#define SRC_TESTING_FAKE_BACKENDS_FAKE_SERVER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "testing/fake_backends/corpus.h"
#include "testing/fake_backends/event_loop.h"
#include "testing/fake_backends/faults.h"
#include "testing/fake_backends/http_server.h"
#include "testing/fake_backends/run_log.h"
#include "wasabihook/units.h"

namespace wasabihook::testing {

struct FakeServerOptions {
  std::string index_set;
  // The server holds shard group `base_group` of `base_groups`. Under a map
  // with a different number of groups it holds the groups that correspond to it
  // modulo the smaller number.
  uint32_t base_group = 0;
  uint32_t base_groups = 1;
  uint32_t slots = 2;
  uint32_t queue = 4;
  uint32_t max_connections = 25;
  Duration connect_delay{0};
  // Parameters of the log-normal service time.
  Duration service_median{0};
  double service_sigma = 0;
  uint64_t seed = 1;
  uint64_t index_version = 1;
  uint64_t map_version = 1;
  // A request whose query or operation contains this text crashes the server,
  // which restarts after `restart_delay`. Empty disables this.
  std::string crash_marker;
  Duration restart_delay = std::chrono::seconds(2);
  std::shared_ptr<const Corpus> corpus;
  RunLog* log = nullptr;
};

struct FakeServerStats {
  uint64_t received = 0;  // Searches, fetches and operations.
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;
  uint64_t expired = 0;
  uint64_t cancelled = 0;  // Work stopped or removed from the queue.
  uint64_t cancel_calls = 0;
  uint64_t crashes = 0;
  uint64_t health_calls = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t open_connections = 0;
  uint32_t peak_connections = 0;
  uint64_t accepted_connections = 0;
  uint64_t refused_connections = 0;
  Duration busy{0};  // Total over all slots.
};

// Backend server that implements docs/backend-protocol.md on one loopback port.
// All functions must be called on the loop's thread.
class FakeServer {
 public:
  FakeServer(EventLoop* loop, FakeServerOptions options);
  ~FakeServer();
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;

  // Throws std::runtime_error if the port is in use.
  void Start(uint16_t port);
  uint16_t port() const { return m_http.port(); }
  std::string address() const;

  // Throws like ChangeFaults().
  void Change(const nlohmann::json& faults);
  // Serves `version` and the newest version until now.
  void SetIndexVersion(uint64_t version);
  void SetMap(uint64_t version, uint32_t groups);
  FakeServerStats Stats() const;

 private:
  using ConnectionId = HttpServer::ConnectionId;
  struct MapView {
    uint64_t version;
    uint32_t groups;
  };
  struct Work {
    ConnectionId connection = 0;
    std::string kind;
    std::string request_id;
    std::string group_id;
    std::string text;  // Query or operation.
    std::string record_key;
    std::string idempotency_key;
    uint32_t group = 0;
    uint32_t groups = 1;
    uint64_t index_version = 0;
    uint64_t map_version = 0;
    LoopClock::time_point deadline;
    LoopClock::time_point started;
    uint64_t timer = 0;
  };

  // Requests.
  void OnRequest(ConnectionId connection, const HttpRequest& request);
  void OnClosed(ConnectionId connection);
  void OnHealth(ConnectionId connection);
  void OnCancel(ConnectionId connection, const HttpRequest& request);
  void OnWork(ConnectionId connection, const HttpRequest& request);
  bool ParseWork(const HttpRequest& request, Work* work);
  bool Refuse(const Work& work);
  bool HoldsGroup(uint32_t group, uint32_t groups) const;

  // Execution in slots.
  void StartWork(std::unique_ptr<Work> work);
  void StartQueued();
  void OnServiceEnd(uint64_t number);
  std::unique_ptr<Work> RemoveRunning(uint64_t number);
  void EndByDeadline(uint64_t number);
  void CancelMatching(bool (*matches)(const Work&, const void*),
                      const void* argument);
  Duration ServiceTime();
  bool RandomBool(double share);
  void Crash();
  void TakeDown();
  void Restart();

  // Replies (fake_server_replies.cc).
  void SendRefusal(const Work& work, int status, const char* error);
  void SendAnswer(const Work& work);
  void SendWithFaults(const Work& work, std::string bytes);
  void SendSwappedReply(ConnectionId connection, std::string bytes);
  std::vector<std::string> RowsOf(const Work& work, uint64_t* searched);
  HttpHeaders HeadersOf(const Work& work) const;
  nlohmann::json Load() const;

  EventLoop* const m_loop;
  const FakeServerOptions m_options;
  HttpServer m_http;
  uint16_t m_port = 0;
  bool m_down = false;
  Faults m_faults;
  std::mt19937_64 m_random;
  std::vector<uint64_t> m_index_versions;  // Newest first.
  std::vector<MapView> m_maps;             // Newest first.
  uint64_t m_next_work = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Work>> m_running;
  std::deque<std::unique_ptr<Work>> m_queue;
  std::optional<std::pair<ConnectionId, std::string>> m_held_reply;
  uint64_t m_held_number = 0;
  FakeServerStats m_stats;
  // Timers may outlive the server, so they hold a weak pointer to this.
  std::shared_ptr<FakeServer*> m_self;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_FAKE_SERVER_H_
