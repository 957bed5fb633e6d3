#ifndef PROGRAMS_WASABIHOOK_FLEET_BENCH_FLEET_H_
#define PROGRAMS_WASABIHOOK_FLEET_BENCH_FLEET_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "decision/settings/settings_sync.h"
#include "peers/instance/http_peer_transport.h"
#include "peers/instance/peer_listener.h"
#include "runtime/thread_timer_service.h"
#include "testing/fake_platform.h"

namespace wasabihook::fleet_bench {

using Clock = std::chrono::steady_clock;

// Totals since the start of the fleet.
struct FleetTotals {
  Clock::time_point at;
  double cpu_seconds = 0;  // User and system time of the process.
  uint64_t peer_calls = 0;
  uint64_t peer_body_bytes = 0;
  uint64_t platform_reads = 0;  // Settings reads; a watch counts as one.
  uint64_t list_reads = 0;
  uint64_t platform_writes = 0;
};

// Propagation times of one settings change.
struct ChangeTiming {
  std::vector<double> seconds;  // One for each instance that applied it.
  size_t missing = 0;           // Instances that did not apply it in time.
};

// Many instances in one process. Each has its own settings, membership and peer
// listener on loopback; they share the transport's threads, the timer service
// and an in-memory platform.
class Fleet {
 public:
  Fleet(size_t size, size_t data_centres, size_t settings_bytes, uint64_t seed);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Waits until every instance knows all others. Returns false on timeout.
  bool WaitForMembership(std::chrono::seconds limit);
  // Writes a change and waits until every instance has applied it. With
  // `store_down_after`, the store goes down as soon as it accepts the write.
  ChangeTiming ApplyChange(std::chrono::seconds limit, bool store_down_after);
  // Replaces every `nth` instance by a new one, without notifying its peers.
  void ReplaceEveryNth(size_t nth);
  void SetStoreDown(bool down);
  FleetTotals Totals() const;
  size_t size() const { return m_nodes.size(); }

 private:
  struct Node;

  std::unique_ptr<Node> MakeNode(size_t index);
  void OnApplied(uint64_t incarnation, Revision revision);
  Revision WriteSettings();
  ChangeTiming WaitUntilApplied(Revision revision, std::chrono::seconds limit);

  const size_t m_data_centres;
  const size_t m_settings_bytes;
  RandomSource m_random;
  std::unique_ptr<ThreadTimerService> m_timers;
  testing::FakePlatform m_platform;
  uint64_t m_incarnations = 0;
  uint32_t m_changes = 0;
  Revision m_revision;
  Clock::time_point m_accepted_at;

  std::mutex m_mutex;
  std::condition_variable m_applied_changed;
  // Highest applied revision and the time when it was applied, by incarnation.
  std::map<uint64_t, std::pair<Revision, Clock::time_point>> m_applied;

  std::vector<std::unique_ptr<SettingsRegistry>> m_registries;
  std::unique_ptr<HttpPeerTransport> m_transport;
  std::vector<std::unique_ptr<Node>> m_nodes;
};

}  // namespace wasabihook::fleet_bench

#endif  // PROGRAMS_WASABIHOOK_FLEET_BENCH_FLEET_H_
